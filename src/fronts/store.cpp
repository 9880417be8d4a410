#include "fronts/store.hpp"

#include <xxhash.h>

#include <utility>

#include "wire/http/digest.hpp"

namespace spokewheel::fronts {
namespace {

std::int64_t keyOf(const std::string& text) {
    return static_cast<std::int64_t>(XXH3_64bits(text.data(), text.size()) & ((std::uint64_t(1) << 53) - 1));
}
std::string wordsOf(const host::Answer& a) {
    if (a.kind == host::Answer::Kind::Refused) return "refused, nothing was done: try again later";
    if (a.kind == host::Answer::Kind::Failed) return "no storage node answered in time";
    return "the storage node answered with status " + std::to_string(a.status);
}

}  // namespace

host::ClassificationRules classificationRules(const config::DaemonSettings& settings) {
    host::ClassificationRules rules;
    rules.readClass = settings.readClass;
    rules.largeReadClass = settings.largeReadClass;
    rules.writeClass = settings.writeClass;
    rules.largeFromBytes = settings.largeFromBytes;
    rules.unitBytes = settings.unitBytes;
    rules.topUnits = settings.module.maxUnits;
    return rules;
}

NodeStore::NodeStore(const config::DaemonSettings& settings, host::Host& host,
                     catalogue::Catalogue& catalogue)
    : settings_(settings), host_(host), catalogue_(catalogue), rules_(classificationRules(settings)) {}

std::string NodeStore::submit(const config::VolumeSettings& volume, const host::ClassAndUnits& shape,
                              std::int64_t key, int shard, std::shared_ptr<const host::NodeRequest> exchange,
                              host::Host::Done done) {
    host::RequestSpec w;
    w.requestClass = shape.requestClass;
    w.plan = volume.plan;
    w.key = key;
    w.volume = volume.number;
    w.units = shape.units;
    w.shard = shard;
    w.hosts = volume.hosts;
    for (const auto& c : settings_.module.classes)
        if (c.name == shape.requestClass) w.ttlMs = c.deadlineMs;
    w.nodeRequest = std::move(exchange);
    return host_.submit(std::move(w), std::move(done));
}

std::string NodeStore::read(const config::VolumeSettings& volume, int shard, const std::string& object,
                            std::uint64_t size, std::uint64_t fileBytes, const std::string& digest,
                            std::function<void(ReadResult)> done) {
    auto x = std::make_shared<host::NodeRequest>();
    x->target = "/" + volume.name + "/" + object;
    x->maxResponseBytes = size + 1024;  // room for the words of an error
    const auto shape = host::classifyOperation(rules_, host::Operation::Read, fileBytes, size);
    return submit(
        volume, shape, keyOf(x->target), shard, x, [size, digest, done = std::move(done)](host::Answer a) {
            ReadResult r;
            r.refused = a.kind == host::Answer::Kind::Refused;
            r.holdOffMs = a.holdOffMs;
            if (a.kind != host::Answer::Kind::Served || a.status != 200) r.error = wordsOf(a);
            else if (!digest.empty() && (a.body.size() != size || catalogue::xxh128Hex(a.body) != digest))
                r.error = "what the storage node returned does not match its checksum";
            else {
                r.ok = true;
                r.body = std::move(a.body);
            }
            done(std::move(r));
        });
}

std::string NodeStore::write(const config::VolumeSettings& volume, const std::string& path,
                             std::shared_ptr<host::NodeRequest> exchange, std::uint64_t fileBytes,
                             std::function<void(WriteResult)> done) {
    // Named by what it holds and made once: a repeat, here or at another host, finds it there (412).
    exchange->method = "PUT";
    exchange->fields.emplace_back("If-None-Match", "*");
    exchange->fields.emplace_back("Idempotency-Key", "\"" + exchange->target.substr(1) + "\"");
    if (settings_.digests)
        exchange->fields.emplace_back("Repr-Digest", wire::http::reprDigest(*exchange->body));
    exchange->maxResponseBytes = 4096;
    const auto shape =
        host::classifyOperation(rules_, host::Operation::Write, fileBytes, exchange->body->size());
    return submit(volume, shape, keyOf(volume.name + "/" + path), -1, exchange,
                  [done = std::move(done)](host::Answer a) {
                      WriteResult r;
                      r.refused = a.kind == host::Answer::Kind::Refused;
                      r.holdOffMs = a.holdOffMs;
                      const bool stored = a.status == 200 || a.status == 201 || a.status == 204;
                      r.ok = a.kind == host::Answer::Kind::Served && (stored || a.status == 412);
                      r.shard = a.shard;
                      if (!r.ok) r.error = wordsOf(a);
                      if (a.kind == host::Answer::Kind::Failed) r.error += "; it may have been stored";
                      done(std::move(r));
                  });
}

std::string NodeStore::writePiece(const config::VolumeSettings& volume, const std::string& path,
                                  const std::string& id, std::shared_ptr<const std::string> body,
                                  std::uint64_t fileBytes, std::function<void(WriteResult)> done) {
    auto x = std::make_shared<host::NodeRequest>();
    x->target = "/" + volume.name + "/p/" + id;
    x->body = std::move(body);
    return write(volume, path, std::move(x), fileBytes, std::move(done));
}

std::string NodeStore::writeVersion(const config::VolumeSettings& volume, catalogue::FileVersion version,
                                    std::shared_ptr<const std::string> body,
                                    std::function<void(WriteResult)> done) {
    version.id = catalogue::versionId(volume.name, version);
    auto x = std::make_shared<host::NodeRequest>();
    x->target = "/" + volume.name + "/o/" + version.id;
    x->fields.emplace_back("Spokewheel-Meta", catalogue::encode(version));
    x->body = std::move(body);
    const auto path = version.path;
    const auto size = version.size;
    return write(volume, path, std::move(x), size,
                 [this, name = volume.name, version = std::move(version),
                  done = std::move(done)](WriteResult r) mutable {
                     version.shard = r.shard;
                     if (r.ok) catalogue_.addVersion(name, std::move(version));
                     done(std::move(r));
                 });
}

}  // namespace spokewheel::fronts
