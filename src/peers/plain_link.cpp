#include "peers/plain_link.hpp"

#include <utility>

namespace spokewheel::peers {

PlainLink::PlainLink(int rank, const io::Address& listen, std::vector<io::Address> peers, io::Address all,
                     Received received)
    : rank_(rank), peers_(std::move(peers)), all_(std::move(all)), received_(std::move(received)) {
    for (std::size_t i = 0; i < peers_.size(); ++i) ranks_[peers_[i].text()] = static_cast<int>(i);
    socket_ =
        std::make_unique<io::DatagramSocket>(listen, [this](const io::Address& from, std::string_view bytes) {
            const auto found = ranks_.find(from.text());
            if (found == ranks_.end() || found->second == rank_) {
                ++counts_.unknown;
                return;
            }
            ++counts_.received;
            received_(found->second, std::string(bytes));
        });
}

void PlainLink::send(int to, const std::string& bytes) {
    if (bytes.size() > kMaxDatagramBytes) {
        ++counts_.oversized;
        return;
    }
    ++counts_.sent;
    if (to < 0 && all_.port > 0) return socket_->send(all_, bytes);
    for (int i = 0; i < static_cast<int>(peers_.size()); ++i)
        if (i != rank_ && (to < 0 || i == to)) socket_->send(peers_[static_cast<std::size_t>(i)], bytes);
}

}  // namespace spokewheel::peers
