#pragma once

#include "coordination/pin_sender.hpp"

#include <optional>
#include <unordered_map>

namespace boragestand::coordination
{

/// Open flows by request identity, on platforms that know it.
class request_index
{
public:
    /// Adds the request of a flow.
    void add(std::uint64_t request, flow_reference flow)
    {
        flows_[request] = flow;
        requests_[flow.hash] = request;
    }

    /// The flow of a request.
    std::optional<flow_reference> find(std::uint64_t request) const
    {
        const auto found = flows_.find(request);
        return found == flows_.end() ? std::nullopt
                                     : std::optional(found->second);
    }

    /// Removes a request.
    void erase(std::uint64_t request)
    {
        const auto found = flows_.find(request);
        if (found != flows_.end())
        {
            requests_.erase(found->second.hash);
            flows_.erase(found);
        }
    }

    /// Removes the request of a flow.
    void erase_flow(std::uint64_t flow_hash)
    {
        const auto found = requests_.find(flow_hash);
        if (found != requests_.end())
        {
            erase(found->second);
        }
    }

private:
    std::unordered_map<std::uint64_t, flow_reference> flows_;
    std::unordered_map<std::uint64_t, std::uint64_t> requests_;
};

} // namespace boragestand::coordination
