#include "coordination/plan_copy.hpp"

#include "state/plan_digest.hpp"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

namespace boragestand::coordination
{

namespace
{

constexpr std::size_t max_part_count = 4096;

tl::unexpected<error> malformed(const std::string& what)
{
    return failure(error_kind::malformed_message, "plan page: " + what);
}

} // namespace

plan_request plan_copy::make_request() const
{
    plan_request request{
        version_,
        digest_,
        state::route_digest(staged_settings_.value_or(settings_)),
        after_,
        {}};
    if (part_count_ > 0)
    {
        request.part_digests = part_digests();
    }
    return request;
}

result<std::optional<plan_update>> plan_copy::apply(const plan_page& page)
{
    if (page.version <= version_)
    {
        return std::nullopt;
    }
    if (page.settings)
    {
        staged_settings_ = page.settings;
    }
    auto update =
        std::visit([&](const auto& content) { return apply(content, page); },
                   page.content);
    if (!update)
    {
        discard();
    }
    return update;
}

result<std::optional<plan_update>> plan_copy::apply(const plan_changes& changes,
                                                    const plan_page& page)
{
    for (const auto& encoded : changes.routes)
    {
        const auto staged = stage(encoded);
        if (!staged)
        {
            return tl::unexpected(staged.error());
        }
    }
    for (const auto position : changes.removed)
    {
        stage(position, std::nullopt);
    }
    after_ = changes.next;
    if (after_)
    {
        return std::nullopt;
    }
    if (digest() == page.digest)
    {
        return commit(page.version);
    }
    if (part_count_ > 0)
    {
        return malformed("equal parts, but another digest");
    }
    // Routes whose pages had arrived have changed meanwhile.
    part_count_ = state::plan_part_count(routes_.size() + staged_.size());
    return std::nullopt;
}

result<std::optional<plan_update>> plan_copy::apply(const plan_parts& parts,
                                                    const plan_page& page)
{
    for (const auto& part : parts.parts)
    {
        const auto staged = stage_part(part);
        if (!staged)
        {
            return tl::unexpected(staged.error());
        }
    }
    return digest() == page.digest
               ? commit(page.version)
               : result<std::optional<plan_update>>(std::nullopt);
}

result<std::optional<plan_update>>
plan_copy::apply(const plan_comparison& comparison, const plan_page&)
{
    const std::size_t count = comparison.part_count;
    if (!std::has_single_bit(count) || count > max_part_count ||
        count == part_count_)
    {
        return malformed("unusable number of parts");
    }
    part_count_ = count;
    return std::nullopt;
}

const plan_copy::held_route* plan_copy::find(std::uint64_t position) const
{
    const auto staged = staged_.find(position);
    if (staged != staged_.end())
    {
        return staged->second ? &*staged->second : nullptr;
    }
    const auto found = routes_.find(position);
    return found == routes_.end() ? nullptr : &found->second;
}

result<void> plan_copy::stage(const std::string& encoded)
{
    auto route = state::decode_route(encoded);
    if (!route)
    {
        return tl::unexpected(route.error());
    }
    const auto position = state::route_position(route->address);
    stage(position, held_route{state::route_digest(encoded),
                               std::make_shared<const state::service_route>(
                                   std::move(*route))});
    return {};
}

void plan_copy::stage(std::uint64_t position, std::optional<held_route> route)
{
    const auto* const former = find(position);
    const auto former_digest = former != nullptr ? former->digest : 0;
    const auto digest = route ? route->digest : 0;
    if (digest == former_digest)
    {
        return;
    }
    routes_digest_ += digest - former_digest;
    const auto in_force = routes_.find(position);
    const auto in_force_digest =
        in_force == routes_.end() ? 0 : in_force->second.digest;
    if (digest == in_force_digest)
    {
        staged_.erase(position);
        return;
    }
    staged_[position] = std::move(route);
}

// Routes of the part that are not listed do not exist any more.
result<void> plan_copy::stage_part(const plan_part& part)
{
    if (part.index >= part_count_)
    {
        return malformed("unknown part");
    }
    const auto is_listed = [this, &part](std::uint64_t position)
    {
        return state::part_of(position, part_count_) == part.index;
    };
    const auto first = state::first_position(part.index, part_count_);
    std::set<std::uint64_t> unlisted;
    for (auto it = routes_.lower_bound(first);
         it != routes_.end() && is_listed(it->first); ++it)
    {
        unlisted.insert(it->first);
    }
    for (auto it = staged_.lower_bound(first);
         it != staged_.end() && is_listed(it->first); ++it)
    {
        unlisted.insert(it->first);
    }
    for (const auto& encoded : part.routes)
    {
        auto route = state::decode_route(encoded);
        if (!route)
        {
            return tl::unexpected(route.error());
        }
        const auto position = state::route_position(route->address);
        if (!is_listed(position))
        {
            return malformed("a route outside of its part");
        }
        unlisted.erase(position);
        stage(position, held_route{state::route_digest(encoded),
                                   std::make_shared<state::service_route>(
                                       std::move(*route))});
    }
    for (const auto position : unlisted)
    {
        stage(position, std::nullopt);
    }
    return {};
}

std::vector<std::uint64_t> plan_copy::part_digests() const
{
    std::vector<std::uint64_t> digests(part_count_, 0);
    for (const auto& [position, held] : routes_)
    {
        digests[state::part_of(position, part_count_)] += held.digest;
    }
    for (const auto& [position, staged] : staged_)
    {
        auto& digest = digests[state::part_of(position, part_count_)];
        const auto in_force = routes_.find(position);
        digest -= in_force == routes_.end() ? 0 : in_force->second.digest;
        digest += staged ? staged->digest : 0;
    }
    return digests;
}

std::uint64_t plan_copy::digest() const
{
    return state::plan_digest(
        routes_digest_,
        state::route_digest(staged_settings_.value_or(settings_)));
}

result<std::optional<plan_update>> plan_copy::commit(std::uint64_t version)
{
    plan_update update;
    update.version = version;
    if (staged_settings_)
    {
        auto settings = state::decode_settings(*staged_settings_);
        if (!settings)
        {
            return tl::unexpected(settings.error());
        }
        update.settings = std::move(*settings);
        settings_ = std::move(*staged_settings_);
    }
    digest_ =
        state::plan_digest(routes_digest_, state::route_digest(settings_));
    for (auto& [position, staged] : staged_)
    {
        if (staged)
        {
            update.routes.push_back(staged->route);
            routes_[position] = std::move(*staged);
            continue;
        }
        const auto removed = routes_.find(position);
        update.removed.push_back(removed->second.route->address);
        routes_.erase(removed);
    }
    version_ = version;
    staged_.clear();
    staged_settings_.reset();
    after_.reset();
    part_count_ = 0;
    return update;
}

void plan_copy::discard()
{
    while (!staged_.empty())
    {
        const auto position = staged_.begin()->first;
        const auto in_force = routes_.find(position);
        stage(position, in_force == routes_.end()
                            ? std::nullopt
                            : std::optional(in_force->second));
    }
    staged_settings_.reset();
    after_.reset();
    part_count_ = 0;
}

std::optional<plan_update> plan_copy::replace(const state::routing_plan& plan)
{
    if (plan.version <= version_)
    {
        return std::nullopt;
    }
    discard();
    std::set<std::uint64_t> unlisted;
    for (const auto& [position, held] : routes_)
    {
        unlisted.insert(position);
    }
    for (const auto& route : plan.routes)
    {
        const auto position = state::route_position(route.address);
        unlisted.erase(position);
        stage(position,
              held_route{state::route_digest(state::encode_route(route)),
                         std::make_shared<const state::service_route>(route)});
    }
    for (const auto position : unlisted)
    {
        stage(position, std::nullopt);
    }
    staged_settings_ = state::encode_settings(state::settings_of(plan));
    return commit(plan.version).value();
}

} // namespace boragestand::coordination
