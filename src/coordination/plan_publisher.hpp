#pragma once

#include "coordination/plan_messages.hpp"

#include <deque>
#include <map>
#include <memory>
#include <tuple>
#include <vector>

namespace boragestand::coordination
{

/// Answers requests for the newest plan with pages. Remembers which routes each
/// of the last versions has changed, but nothing about the instances that ask.
class plan_publisher
{
public:
    /// Makes a plan the newest; ignored if its version is not higher than that
    /// of the newest one.
    void publish(std::shared_ptr<const state::routing_plan> plan);

    /// Version of the newest plan, 0 before the first.
    std::uint64_t version() const { return version_; }

    /// The page that answers a request.
    plan_page make_page(const plan_request& request) const;

    /// That page, encoded. Pages that many instances ask for are encoded once.
    std::string answer(const plan_request& request);

    /// Pages and bytes of all answers.
    std::uint64_t pages() const { return pages_; }
    std::uint64_t bytes() const { return bytes_; }

private:
    struct indexed_route
    {
        std::uint64_t position{0};
        std::uint64_t digest{0};
        const state::service_route* route{nullptr}; ///< in plan_

        auto operator<=>(const indexed_route&) const = default;
    };

    /// A version and the positions of the routes that it has changed.
    struct revision
    {
        std::uint64_t version{0};
        std::uint64_t digest{0};
        std::vector<std::uint64_t> changed; ///< in ascending order

        auto operator<=>(const revision&) const = default;
    };

    /// Base version, position that the page follows, digest of the settings.
    using page_key =
        std::tuple<std::uint64_t, std::optional<std::uint64_t>, std::uint64_t>;
    using route_iterator = std::vector<indexed_route>::const_iterator;

    std::vector<std::uint64_t>
    replace_index(std::shared_ptr<const state::routing_plan> plan);
    void trim_revisions();
    const indexed_route* find(std::uint64_t position) const;
    route_iterator lower_bound(std::uint64_t position) const;
    bool knows(const plan_request& request) const;
    plan_changes all_routes_after(std::optional<std::uint64_t> after) const;
    plan_changes changes_after(std::uint64_t version,
                               std::optional<std::uint64_t> after) const;
    plan_page compare(const plan_request& request, plan_page page) const;

    std::shared_ptr<const state::routing_plan> plan_;
    std::vector<indexed_route> index_; ///< in order of position
    std::uint64_t version_{0};
    std::uint64_t digest_{0};
    std::string settings_; ///< encoded
    std::uint64_t settings_digest_{0};
    std::deque<revision> revisions_; ///< oldest first, the last is the newest
    std::map<page_key, std::string> encoded_pages_;
    std::uint64_t pages_{0};
    std::uint64_t bytes_{0};
};

} // namespace boragestand::coordination
