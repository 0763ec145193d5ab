#pragma once

#include "protocol/protocol.hpp"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace boragestand::coordination
{

/// Position that refers to no upstream.
constexpr std::uint32_t no_upstream_position = 0xffffffff;

/// Last known addresses of the upstreams that flows refer to. An address is
/// kept after the lease of its upstream ends, since the upstream may be alive
/// behind a partition.
class upstream_addresses
{
public:
    struct entry
    {
        service_id service;
        upstream_id upstream;
        transport::endpoint address;
        std::uint64_t incarnation{0};
        std::uint32_t flows{0};
        bool known{false};    ///< address is valid
        bool replaced{false}; ///< the upstream has been restarted since
    };

    /// Stores the address of an announcement. Flows of an earlier incarnation
    /// of the upstream keep their entry, which is marked as replaced.
    void update(const protocol::upstream_record& record);

    /// Position of the entry of an upstream, added if there is none.
    std::uint32_t find_or_add(service_id service, upstream_id upstream);

    entry& operator[](std::uint32_t position) { return entries_[position]; }
    const entry& operator[](std::uint32_t position) const
    {
        return entries_[position];
    }

    /// Removes one flow from an entry; frees a replaced entry without flows.
    void release(std::uint32_t position);

private:
    std::uint32_t add(service_id service, upstream_id upstream);

    std::vector<entry> entries_;
    std::vector<std::uint32_t> free_;
    std::map<std::pair<service_id, upstream_id>, std::uint32_t> positions_;
};

} // namespace boragestand::coordination
