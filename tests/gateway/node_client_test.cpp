// Outcomes by what is known, against a raw socket that does what it is told.
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

// A listening socket driven by hand, in the one thread of the test.
class Raw {
  public:
    Raw() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in a{};
        a.sin_family = AF_INET;
        a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t n = sizeof a;
        EXPECT_EQ(bind(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a), 0);
        EXPECT_EQ(listen(fd_, 16), 0);
        EXPECT_EQ(getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &n), 0);
        address = "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
    }
    ~Raw() {
        hangUp();
        close(fd_);
    }
    // Takes a connection and the head of a request, if they are there.
    bool takeRequest() {
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
        auto x = std::make_shared<host::NodeRequest>();
        x->target = "/maps/o/1";
        x->maxResponseBytes = 100;
        result_.reset();
        client_.send(node, x, {"r", 0, "class=view"}, expireMs,
                     [this](host::AttemptResult r) { result_ = std::move(r); });
    }
    // Turns the loop until the condition holds; false after two seconds.
    template <class Condition>
    bool turn(Condition condition) {
        for (const double until = io::nowMs() + 2000; !condition();) {
            if (io::nowMs() > until) return false;
            g_main_context_iteration(nullptr, FALSE);
        }
        return true;
    }
    Outcome ended() {
        return turn([this] { return result_.has_value(); }) ? result_->outcome : Outcome::Cancelled;
    }
    bool arrived() {
        return turn([this] { return node_.takeRequest(); });
    }
    void served() {
        start(node_.address);
        ASSERT_TRUE(arrived());
        node_.answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
        ASSERT_EQ(ended(), Outcome::Served);
        EXPECT_EQ(result_->body, "hi");
    }

    Raw node_;
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
    ASSERT_TRUE(arrived());
    node_.answer("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(ended(), Outcome::Rejected);
    start(node_.address);
    ASSERT_TRUE(arrived());
    node_.answer("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(ended(), Outcome::ServerError);
    start(node_.address);
    ASSERT_TRUE(arrived());
    node_.answer("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + std::string(900, 'x'));
    EXPECT_EQ(ended(), Outcome::ServerError);  // longer than was asked for: not waited for
    EXPECT_EQ(client_.connections(), 0u);
    node_.hangUp();
    // Damaged on its way there, which the node says by asking for a digest: nothing was done.
    start(node_.address);
    ASSERT_TRUE(arrived());
    node_.answer("HTTP/1.1 400 Bad Request\r\nWant-Repr-Digest: sha-256=10\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(ended(), Outcome::Rejected);
    start(node_.address);
    ASSERT_TRUE(arrived());
    node_.answer("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(ended(), Outcome::Served);  // an answer: it would be the same again
    start(node_.address);
    ASSERT_TRUE(arrived());
    node_.answer("SMTP ready\r\n");
    EXPECT_EQ(ended(), Outcome::ServerError);
}

TEST_F(Outcomes, SilenceAfterSendingMayHaveRun) {
    start(node_.address, 150);
    ASSERT_TRUE(arrived());
    EXPECT_EQ(ended(), Outcome::NoAnswer);
    EXPECT_EQ(client_.connections(), 0u);  // called off by closing it
}

TEST_F(Outcomes, CutAfterSendingMayHaveRun) {
    start(node_.address);
    ASSERT_TRUE(arrived());
    node_.hangUp();
    EXPECT_EQ(ended(), Outcome::ConnectionLost);
    start(node_.address);
    ASSERT_TRUE(arrived());
    node_.answer("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
    node_.hangUp();
    EXPECT_EQ(ended(), Outcome::ConnectionLost);
    EXPECT_EQ(result_->body, "");
}

TEST_F(Outcomes, NothingListeningIsKnownNotToHaveRun) {
    std::string gone;
    {
        Raw other;
        gone = other.address;
    }
    start(gone);
    EXPECT_EQ(ended(), Outcome::NoConnection);
    start("10.1.2.3:80");  // not of this machine: never tried
    EXPECT_EQ(ended(), Outcome::NoConnection);
}

// The node closed the kept connection and the loop has not seen it yet: nothing is sent into it.
TEST_F(Outcomes, KeptConnectionThatHasEndedIsNotUsed) {
    served();
    node_.hangUp();
    start(node_.address);
    ASSERT_TRUE(arrived());
    node_.answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(ended(), Outcome::Served);
    EXPECT_EQ(node_.accepted, 2);
}

}  // namespace
}  // namespace spokewheel::nodes
