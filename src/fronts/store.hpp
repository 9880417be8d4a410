// Reads and writes of stored objects as scheduled requests. Knows how objects are named and verified, but
// nothing of the clients' protocols.
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
    bool ok = false, refused = false;  // refused: nothing was done, a retry is harmless
    std::string body, error;           // error: text for the client
    double retryAfterMs = 0;           // refused: when to retry; 0: the scheduler gave no time
};
struct WriteResult {
    bool ok = false, refused = false;
    int shard = -1;
    std::string error;
    double retryAfterMs = 0;
};

class Store {
  public:
    virtual ~Store() = default;
    // Reads a whole object of `size` bytes that belongs to a file of `fileBytes`; `object` is its path below
    // the volume. Content that does not match `digest` (empty: not checked) is an error and never passed on.
    // `done` is called once, from the event loop. Returns the request's id for abandon().
    virtual std::string read(const config::VolumeSettings& volume, int shard, const std::string& object,
                             std::uint64_t size, std::uint64_t fileBytes, const std::string& digest,
                             std::function<void(ReadResult)> done) = 0;
    // Writes a piece of a file; it is not visible until a version that names it is written.
    virtual std::string writePiece(const config::VolumeSettings& volume, const std::string& path,
                                   const std::string& id, std::shared_ptr<const std::string> body,
                                   std::uint64_t fileBytes, std::function<void(WriteResult)> done) = 0;
    // Writes a version of a path, which all hosts show once a node has it. Its id and shard are set here.
    virtual std::string writeVersion(const config::VolumeSettings& volume, catalogue::FileVersion version,
                                     std::shared_ptr<const std::string> body,
                                     std::function<void(WriteResult)> done) = 0;
    // The result is no longer wanted: `done` is dropped and not called.
    virtual void abandon(const std::string& request) = 0;
    virtual const catalogue::Catalogue& catalogue() const = 0;
};

// Submits the operations to the host, whose scheduler sends them to the storage nodes.
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
                      std::shared_ptr<host::NodeRequest> request, std::uint64_t fileBytes,
                      std::function<void(WriteResult)> done);
    std::string submit(const config::VolumeSettings& volume, const host::ClassAndUnits& cost,
                       std::int64_t key, int shard, std::shared_ptr<const host::NodeRequest> request,
                       host::Host::Done done);

    const config::DaemonSettings& settings_;
    host::Host& host_;
    catalogue::Catalogue& catalogue_;
    host::ClassificationRules rules_;
};

// The configured rules by which operations are given classes and units.
host::ClassificationRules classificationRules(const config::DaemonSettings& settings);

// The size of a manifest is not known before it is read, so its read is limited to this. Nor is its digest:
// it goes into the object's name, not into its metadata.
constexpr std::uint64_t kMaxManifestBytes = 32 * 1024 * 1024;

}  // namespace spokewheel::fronts
