#include "peers/peer_link.hpp"

#include <glib.h>

namespace spokewheel::peers {

using wire::peer::Fault;

PeerLink::PeerLink(int rank, const io::Address& listen, std::string key, std::uint64_t incarnation,
                   Received received)
    : rank_(rank), key_(std::move(key)), incarnation_(incarnation), received_(std::move(received)) {
    digest_ = [this](std::string_view bytes) {
        GHmac* mac = g_hmac_new(G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(key_.data()), key_.size());
        g_hmac_update(mac, reinterpret_cast<const guchar*>(bytes.data()), static_cast<gssize>(bytes.size()));
        guint8 out[wire::peer::kDigestBytes];
        gsize n = sizeof out;
        g_hmac_get_digest(mac, out, &n);
        g_hmac_unref(mac);
        return std::string(reinterpret_cast<char*>(out), n);
    };
    socket_ = std::make_unique<io::DatagramSocket>(
        listen, [this](const io::Address&, std::string_view bytes) { onDatagram(bytes); });
}

void PeerLink::send(int to, const std::string& bytes) {
    if (bytes.size() > wire::peer::kMaxPayloadBytes) {
        ++counters_.oversized;
        return;
    }
    const auto text =
        wire::peer::pack({static_cast<std::uint16_t>(rank_), incarnation_, ++sequence_, bytes}, digest_);
    for (const auto& [rank, address] : addresses_) {
        if (rank == rank_ || (to >= 0 && rank != to)) continue;
        socket_->send(address, text);
        ++counters_.sent;
    }
}

void PeerLink::onDatagram(std::string_view bytes) {
    Fault fault;
    auto d = wire::peer::unpack(bytes, digest_, fault);
    if (!d) {
        ++(fault == Fault::Digest ? counters_.forged : counters_.malformed);
        return;
    }
    if (d->from == rank_ || !addresses_.count(d->from)) {
        ++counters_.unknown;
        return;
    }
    if (!replay_.accept(*d)) {
        ++counters_.replayed;
        return;
    }
    ++counters_.received;
    received_(d->from, std::move(d->payload));
}

}  // namespace spokewheel::peers
