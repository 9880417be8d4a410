// Reads and writes of stored objects as requests of the module: what every front is built on. Knows the
// objects' names and checks, no protocol of clients.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "catalogue/catalogue.hpp"
#include "config/settings.hpp"
#include "host/decide_request.hpp"
#include "host/host.hpp"
#include "host/memory_budget.hpp"

namespace spokewheel::fronts {

struct ReadResult {
    bool ok = false, refused = false;
    std::string body, error;  // words: why not, for the client
    double holdOffMs = 0;     // refused: when to come back, where the module says so
};
struct WriteResult {
    bool ok = false, refused = false;
    int shard = -1;
    std::string error;
    double holdOffMs = 0;
};

class Store {
  public:
    virtual ~Store() = default;
    // One object, whole: `object` is its target below the volume. The content is checked against `digest`
    // before it is handed on; a mismatch is told and never served. Returns the request's id for abandon().
    virtual std::string read(const config::VolumeSettings& volume, int shard, const std::string& object,
                             std::uint64_t size, std::uint64_t fileBytes, const std::string& digest,
                             std::function<void(ReadResult)> done) = 0;
    // A piece of a file that is not shown yet.
    virtual std::string writePiece(const config::VolumeSettings& volume, const std::string& path,
                                   const std::string& id, std::shared_ptr<const std::string> body,
                                   std::uint64_t fileBytes, std::function<void(WriteResult)> done) = 0;
    // A version of a path: shown at all hosts once a node has it. `version` needs all but id and shard.
    virtual std::string writeVersion(const config::VolumeSettings& volume, catalogue::FileVersion version,
                                     std::shared_ptr<const std::string> body,
                                     std::function<void(WriteResult)> done) = 0;
    // Nobody waits for it any more: `done` is dropped and does not come.
    virtual void abandon(const std::string& request) = 0;
    virtual const catalogue::Catalogue& catalogue() const = 0;
};

// Over the host's module and the storage nodes.
class NodeStore : public Store {
  public:
    NodeStore(const config::DaemonSettings& settings, host::Host& host, catalogue::Catalogue& catalogue);
    std::string read(const config::VolumeSettings& volume, int shard, const std::string& object,
                     std::uint64_t size, std::uint64_t fileBytes, const std::string& digest,
                     std::function<void(ReadResult)> done) override;
    std::string writePiece(const config::VolumeSettings& volume, const std::string& path,
                           const std::string& id, std::shared_ptr<const std::string> body,
                           std::uint64_t fileBytes, std::function<void(WriteResult)> done) override;
    std::string writeVersion(const config::VolumeSettings& volume, catalogue::FileVersion version,
                             std::shared_ptr<const std::string> body,
                             std::function<void(WriteResult)> done) override;
    void abandon(const std::string& request) override { host_.abandon(request); }
    const catalogue::Catalogue& catalogue() const override { return catalogue_; }

  private:
    std::string write(const config::VolumeSettings& volume, const std::string& path,
                      std::shared_ptr<host::NodeRequest> exchange, std::uint64_t fileBytes,
                      std::function<void(WriteResult)> done);
    std::string submit(const config::VolumeSettings& volume, const host::ClassAndUnits& shape,
                       std::int64_t key, int shard, std::shared_ptr<const host::NodeRequest> exchange,
                       host::Host::Done done);

    const config::DaemonSettings& settings_;
    host::Host& host_;
    catalogue::Catalogue& catalogue_;
    host::ClassificationRules rules_;
};

// How operations become classes and units, by configuration.
host::ClassificationRules classificationRules(const config::DaemonSettings& settings);

// The digest of a manifest's own text is part of its name's making, not of its metadata; its size is bounded.
constexpr std::uint64_t kMaxManifestBytes = 32 * 1024 * 1024;

}  // namespace spokewheel::fronts
