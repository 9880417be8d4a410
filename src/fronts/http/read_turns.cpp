#include "fronts/http/read_turns.hpp"

namespace spokewheel::fronts::http {

void ReadTurns::Queue::push(ConnectionNumber connection) {
    if (members_.insert(connection).second) order_.push_back(connection);
}

ReadTurns::ConnectionNumber ReadTurns::Queue::pop() {
    const auto first = order_.front();
    order_.pop_front();
    members_.erase(first);
    return first;
}

void ReadTurns::enterTurn(std::uint64_t turn) {
    if (turn == turn_) return;
    startTurn();
    turn_ = turn;
}

bool ReadTurns::mayServe(ConnectionNumber connection, Priority priority, std::uint64_t turn) {
    enterTurn(turn);
    const bool free = !anyWaits() && !exhausted();
    if (free && served_.insert(connection).second) return true;
    wait(connection, priority);
    return false;
}

void ReadTurns::wait(ConnectionNumber connection, Priority priority) {
    (priority == Priority::Answers ? answers_ : reads_).push(connection);
}

void ReadTurns::startTurn() {
    served_.clear();
    used_ = 0;
    readServed_ = false;
}

std::optional<ReadTurns::ConnectionNumber> ReadTurns::next() {
    if (exhausted()) return std::nullopt;
    // One of those that read behind an open request has its share in each iteration: its client may have
    // left.
    const bool readIsDue = !reads_.empty() && !readServed_;
    const bool takesRead = readIsDue || (answers_.empty() && !reads_.empty());
    if (!takesRead && answers_.empty()) return std::nullopt;
    readServed_ = readServed_ || takesRead;
    const auto connection = (takesRead ? reads_ : answers_).pop();
    if (!served_.insert(connection).second) {
        wait(connection, takesRead ? Priority::ReadsBehindOpen : Priority::Answers);
        return std::nullopt;
    }
    return connection;
}

}  // namespace spokewheel::fronts::http
