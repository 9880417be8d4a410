// The outcomes of NodeClient against a server that the test controls byte by byte.
#include "nodes/node_client.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>

namespace spokewheel::nodes {
namespace {

// A listening socket and at most one accepted connection, controlled by the test in its only thread.
class ManualServer {
  public:
    ManualServer() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in a{};
        a.sin_family = AF_INET;
        a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t n = sizeof a;
        EXPECT_EQ(bind(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a), 0);
        EXPECT_EQ(listen(fd_, 16), 0);
        EXPECT_EQ(getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &n), 0);
        address = "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
    }
    ~ManualServer() {
        hangUp();
        close(fd_);
    }
    // Accepts a connection and reads the head of a request from it without waiting; false if it is not there
    // yet.
    bool receivedRequest() {
        if (peer_ < 0) {
            pollfd p{fd_, POLLIN, 0};
            if (poll(&p, 1, 0) <= 0) return false;
            peer_ = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            ++accepted;
        }
        char buffer[4096];
        const auto n = recv(peer_, buffer, sizeof buffer, MSG_DONTWAIT);
        if (n > 0) got_.append(buffer, static_cast<std::size_t>(n));
        if (got_.find("\r\n\r\n") == got_.npos) return false;
        got_.clear();
        return true;
    }
    void answer(const std::string& text) {
        EXPECT_GT(send(peer_, text.data(), text.size(), MSG_NOSIGNAL), 0);
    }
    void hangUp() {
        if (peer_ >= 0) close(peer_);
        peer_ = -1;
        got_.clear();
    }
    std::string address;
    int accepted = 0;

  private:
    int fd_, peer_ = -1;
    std::string got_;
};

class Outcomes : public ::testing::Test {
  protected:
    void start(const std::string& node, double expireMs = 2000) {
        auto request = std::make_shared<host::NodeRequest>();
        request->target = "/maps/o/1";
        request->maxResponseBytes = 100;
        result_.reset();
        client_.send(node, request, {"r", 0, "class=view"}, expireMs,
                     [this](host::AttemptResult r) { result_ = std::move(r); });
    }
    // Runs the event loop until the condition holds; false after two seconds.
    template <class Condition>
    bool runUntil(Condition condition) {
        for (const double until = io::nowMs() + 2000; !condition();) {
            if (io::nowMs() > until) return false;
            g_main_context_iteration(nullptr, FALSE);
        }
        return true;
    }
    Outcome outcome() {
        return runUntil([this] { return result_.has_value(); }) ? result_->outcome : Outcome::Cancelled;
    }
    bool requestArrived() {
        return runUntil([this] { return node_.receivedRequest(); });
    }
    void served() {
        start(node_.address);
        ASSERT_TRUE(requestArrived());
        node_.answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
        ASSERT_EQ(outcome(), Outcome::Served);
        EXPECT_EQ(result_->body, "hi");
    }

    ManualServer node_;
    NodeClient client_{PoolLimits{}, gatewayDialect("0")};
    std::optional<host::AttemptResult> result_;
};

TEST_F(Outcomes, ServedOnOneKeptConnection) {
    served();
    served();
    EXPECT_EQ(node_.accepted, 1);
}

TEST_F(Outcomes, RefusedAndFailedAreToldApart) {
    start(node_.address);
    ASSERT_TRUE(requestArrived());
    node_.answer("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(outcome(), Outcome::Rejected);
    start(node_.address);
    ASSERT_TRUE(requestArrived());
    node_.answer("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(outcome(), Outcome::ServerError);
    start(node_.address);
    ASSERT_TRUE(requestArrived());
    node_.answer("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + std::string(900, 'x'));
    EXPECT_EQ(outcome(), Outcome::ServerError);  // longer than maxResponseBytes: not waited for
    EXPECT_EQ(client_.connections(), 0u);
    node_.hangUp();
    // The request was damaged on its way, as the node tells by asking for a digest: nothing was done.
    start(node_.address);
    ASSERT_TRUE(requestArrived());
    node_.answer("HTTP/1.1 400 Bad Request\r\nWant-Repr-Digest: sha-256=10\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(outcome(), Outcome::Rejected);
    start(node_.address);
    ASSERT_TRUE(requestArrived());
    node_.answer("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(outcome(), Outcome::Served);  // a definite answer: a repeat would get the same
    start(node_.address);
    ASSERT_TRUE(requestArrived());
    node_.answer("SMTP ready\r\n");
    EXPECT_EQ(outcome(), Outcome::ServerError);
}

TEST_F(Outcomes, SilenceAfterSendingMayHaveRun) {
    start(node_.address, 150);
    ASSERT_TRUE(requestArrived());
    EXPECT_EQ(outcome(), Outcome::NoAnswer);
    EXPECT_EQ(client_.connections(), 0u);  // the client cancels by closing it
}

TEST_F(Outcomes, CutAfterSendingMayHaveRun) {
    start(node_.address);
    ASSERT_TRUE(requestArrived());
    node_.hangUp();
    EXPECT_EQ(outcome(), Outcome::ConnectionLost);
    start(node_.address);
    ASSERT_TRUE(requestArrived());
    node_.answer("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
    node_.hangUp();
    EXPECT_EQ(outcome(), Outcome::ConnectionLost);
    EXPECT_EQ(result_->body, "");
}

TEST_F(Outcomes, NothingListeningIsKnownNotToHaveRun) {
    std::string gone;
    {
        ManualServer other;
        gone = other.address;
    }
    start(gone);
    EXPECT_EQ(outcome(), Outcome::NoConnection);
    start("10.1.2.3:80");  // not a loopback address: never dialled
    EXPECT_EQ(outcome(), Outcome::NoConnection);
}

// The node has closed the idle connection and the event loop has not noticed yet: nothing is sent on it.
TEST_F(Outcomes, KeptConnectionThatHasEndedIsNotUsed) {
    served();
    node_.hangUp();
    start(node_.address);
    ASSERT_TRUE(requestArrived());
    node_.answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(outcome(), Outcome::Served);
    EXPECT_EQ(node_.accepted, 2);
}

}  // namespace
}  // namespace spokewheel::nodes
