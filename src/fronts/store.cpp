#include "fronts/store.hpp"

#include <xxhash.h>

#include <utility>

#include "wire/http/digest.hpp"

namespace spokewheel::fronts {
namespace {

// A request key: 53 bits of a hash of the text.
std::int64_t keyFor(const std::string& text) {
    return static_cast<std::int64_t>(XXH3_64bits(text.data(), text.size()) & ((std::uint64_t(1) << 53) - 1));
}
std::string errorText(const host::Answer& a) {
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
    rules.maxUnits = settings.module.maxUnits;
    return rules;
}

NodeStore::NodeStore(const config::DaemonSettings& settings, host::Host& host,
                     catalogue::Catalogue& catalogue)
    : settings_(settings), host_(host), catalogue_(catalogue), rules_(classificationRules(settings)) {}

std::string NodeStore::submit(const config::VolumeSettings& volume, const host::ClassAndUnits& cost,
                              std::int64_t key, int shard, std::shared_ptr<const host::NodeRequest> request,
                              host::Host::Done done) {
    host::RequestSpec spec;
    spec.requestClass = cost.requestClass;
    spec.plan = volume.plan;
    spec.key = key;
    spec.volume = volume.number;
    spec.units = cost.units;
    spec.shard = shard;
    spec.hosts = volume.hosts;
    for (const auto& c : settings_.module.classes)
        if (c.name == cost.requestClass) spec.ttlMs = c.deadlineMs;
    spec.nodeRequest = std::move(request);
    return host_.submit(std::move(spec), std::move(done));
}

std::string NodeStore::read(const config::VolumeSettings& volume, int shard, const std::string& object,
                            std::uint64_t size, std::uint64_t fileBytes, const std::string& digest,
                            std::function<void(ReadResult)> done) {
    auto request = std::make_shared<host::NodeRequest>();
    request->target = "/" + volume.name + "/" + object;
    request->maxResponseBytes = size + 1024;  // room for the text of an error
    const auto cost = host::classifyOperation(rules_, host::Operation::Read, fileBytes, size);
    return submit(
        volume, cost, keyFor(request->target), shard, request,
        [size, digest, done = std::move(done)](host::Answer a) {
            ReadResult r;
            r.refused = a.kind == host::Answer::Kind::Refused;
            r.retryAfterMs = a.retryAfterMs;
            if (a.kind != host::Answer::Kind::Served || a.status != 200) r.error = errorText(a);
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
                             std::shared_ptr<host::NodeRequest> request, std::uint64_t fileBytes,
                             std::function<void(WriteResult)> done) {
    // The object is named by its content and created once: a repeated write, from this host or another, gets
    // 412.
    request->method = "PUT";
    request->fields.emplace_back("If-None-Match", "*");
    request->fields.emplace_back("Idempotency-Key", "\"" + request->target.substr(1) + "\"");
    if (settings_.digests)
        request->fields.emplace_back("Repr-Digest", wire::http::reprDigest(*request->body));
    request->maxResponseBytes = 4096;
    const auto cost =
        host::classifyOperation(rules_, host::Operation::Write, fileBytes, request->body->size());
    return submit(volume, cost, keyFor(volume.name + "/" + path), -1, request,
                  [done = std::move(done)](host::Answer a) {
                      WriteResult r;
                      r.refused = a.kind == host::Answer::Kind::Refused;
                      r.retryAfterMs = a.retryAfterMs;
                      const bool stored = a.status == 200 || a.status == 201 || a.status == 204;
                      r.ok = a.kind == host::Answer::Kind::Served && (stored || a.status == 412);
                      r.shard = a.shard;
                      if (!r.ok) r.error = errorText(a);
                      if (a.kind == host::Answer::Kind::Failed) r.error += "; it may have been stored";
                      done(std::move(r));
                  });
}

std::string NodeStore::writePiece(const config::VolumeSettings& volume, const std::string& path,
                                  const std::string& id, std::shared_ptr<const std::string> body,
                                  std::uint64_t fileBytes, std::function<void(WriteResult)> done) {
    auto request = std::make_shared<host::NodeRequest>();
    request->target = "/" + volume.name + "/p/" + id;
    request->body = std::move(body);
    return write(volume, path, std::move(request), fileBytes, std::move(done));
}

std::string NodeStore::writeVersion(const config::VolumeSettings& volume, catalogue::FileVersion version,
                                    std::shared_ptr<const std::string> body,
                                    std::function<void(WriteResult)> done) {
    version.id = catalogue::versionId(volume.name, version);
    auto request = std::make_shared<host::NodeRequest>();
    request->target = "/" + volume.name + "/o/" + version.id;
    request->fields.emplace_back("Spokewheel-Meta", catalogue::encode(version));
    request->body = std::move(body);
    const auto path = version.path;
    const auto size = version.size;
    return write(volume, path, std::move(request), size,
                 [this, name = volume.name, version = std::move(version),
                  done = std::move(done)](WriteResult r) mutable {
                     version.shard = r.shard;
                     if (r.ok) catalogue_.addVersion(name, std::move(version));
                     done(std::move(r));
                 });
}

}  // namespace spokewheel::fronts
