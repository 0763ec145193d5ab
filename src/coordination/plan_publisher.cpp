#include "coordination/plan_publisher.hpp"

#include "state/plan_digest.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace boragestand::coordination
{

namespace
{

// Changes that are remembered over all versions: 8 bytes each. An instance that
// is further behind compares the parts of its plan.
constexpr std::size_t max_remembered_changes = 16384;
constexpr std::size_t max_revisions = 1024;

// About 1 MB; the pages of a plan of 50,000 routes.
constexpr std::size_t max_encoded_pages = 200;

} // namespace

void plan_publisher::publish(std::shared_ptr<const state::routing_plan> plan)
{
    if (plan->version <= version_)
    {
        return;
    }
    settings_ = state::encode_settings(state::settings_of(*plan));
    settings_digest_ = state::route_digest(settings_);
    auto changed = replace_index(std::move(plan));
    std::uint64_t sum = 0;
    for (const auto& each : index_)
    {
        sum += each.digest;
    }
    version_ = plan_->version;
    digest_ = state::plan_digest(sum, settings_digest_);
    revisions_.push_back({version_, digest_, std::move(changed)});
    trim_revisions();
    encoded_pages_.clear();
}

// Returns the positions of the routes that differ from the former plan.
std::vector<std::uint64_t>
plan_publisher::replace_index(std::shared_ptr<const state::routing_plan> plan)
{
    std::vector<indexed_route> index;
    index.reserve(plan->routes.size());
    for (const auto& route : plan->routes)
    {
        index.push_back({state::route_position(route.address), 0, &route});
    }
    std::sort(index.begin(), index.end());
    std::vector<std::uint64_t> changed;
    auto former = index_.cbegin();
    for (auto& each : index)
    {
        for (; former != index_.cend() && former->position < each.position;
             ++former)
        {
            changed.push_back(former->position);
        }
        const bool known =
            former != index_.cend() && former->position == each.position;
        if (known && *former->route == *each.route)
        {
            each.digest = former->digest;
        }
        else
        {
            each.digest = state::route_digest(state::encode_route(*each.route));
            changed.push_back(each.position);
        }
        former += known ? 1 : 0;
    }
    for (; former != index_.cend(); ++former)
    {
        changed.push_back(former->position);
    }
    index_ = std::move(index);
    plan_ = std::move(plan);
    return changed;
}

// The changes of the oldest revision lead to it from a version that is not
// known any more.
void plan_publisher::trim_revisions()
{
    std::size_t remembered = 0;
    for (const auto& each : revisions_)
    {
        remembered += each.changed.size();
    }
    while (revisions_.size() > 1 && (remembered > max_remembered_changes ||
                                     revisions_.size() > max_revisions))
    {
        remembered -= revisions_.front().changed.size();
        revisions_.pop_front();
    }
    revisions_.front().changed.clear();
}

plan_publisher::route_iterator
plan_publisher::lower_bound(std::uint64_t position) const
{
    return std::lower_bound(index_.begin(), index_.end(), position,
                            [](const indexed_route& each, std::uint64_t wanted)
                            { return each.position < wanted; });
}

const plan_publisher::indexed_route*
plan_publisher::find(std::uint64_t position) const
{
    const auto found = lower_bound(position);
    const bool exists = found != index_.end() && found->position == position;
    return exists ? &*found : nullptr;
}

bool plan_publisher::knows(const plan_request& request) const
{
    return request.version == 0 ||
           std::any_of(revisions_.begin(), revisions_.end(),
                       [&request](const revision& each) {
                           return each.version == request.version &&
                                  each.digest == request.digest;
                       });
}

plan_page plan_publisher::make_page(const plan_request& request) const
{
    plan_page page{version_, digest_, std::nullopt, plan_changes{}};
    if (request.version >= version_)
    {
        return page;
    }
    if (request.settings_digest != settings_digest_)
    {
        page.settings = settings_;
    }
    if (!request.part_digests.empty())
    {
        return compare(request, std::move(page));
    }
    if (!knows(request))
    {
        page.content = plan_comparison{
            static_cast<std::uint32_t>(state::plan_part_count(index_.size()))};
        return page;
    }
    page.content = request.version == 0
                       ? all_routes_after(request.after)
                       : changes_after(request.version, request.after);
    return page;
}

std::string plan_publisher::answer(const plan_request& request)
{
    ++pages_;
    const bool cacheable = request.part_digests.empty() && knows(request) &&
                           request.version < version_;
    if (!cacheable)
    {
        auto encoded = encode_message(make_page(request));
        bytes_ += encoded.size();
        return encoded;
    }
    const page_key key{request.version, request.after, request.settings_digest};
    auto found = encoded_pages_.find(key);
    if (found == encoded_pages_.end())
    {
        if (encoded_pages_.size() >= max_encoded_pages)
        {
            encoded_pages_.erase(encoded_pages_.begin());
        }
        found = encoded_pages_.emplace(key, encode_message(make_page(request)))
                    .first;
    }
    bytes_ += found->second.size();
    return found->second;
}

plan_changes
plan_publisher::all_routes_after(std::optional<std::uint64_t> after) const
{
    plan_changes changes;
    auto next = after ? lower_bound(*after) : index_.begin();
    if (after && next != index_.end() && next->position == *after)
    {
        ++next;
    }
    const auto size = std::min<std::size_t>(
        plan_page_routes, static_cast<std::size_t>(index_.end() - next));
    const auto end = next + static_cast<std::ptrdiff_t>(size);
    std::transform(next, end, std::back_inserter(changes.routes),
                   [](const indexed_route& each)
                   { return state::encode_route(*each.route); });
    if (end != index_.end())
    {
        changes.next = std::prev(end)->position;
    }
    return changes;
}

plan_changes
plan_publisher::changes_after(std::uint64_t version,
                              std::optional<std::uint64_t> after) const
{
    std::vector<std::uint64_t> changed;
    for (const auto& each : revisions_)
    {
        if (each.version > version)
        {
            const auto first =
                after ? std::upper_bound(each.changed.begin(),
                                         each.changed.end(), *after)
                      : each.changed.begin();
            changed.insert(changed.end(), first, each.changed.end());
        }
    }
    std::sort(changed.begin(), changed.end());
    changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
    plan_changes changes;
    if (changed.size() > plan_page_routes)
    {
        changed.resize(plan_page_routes);
        changes.next = changed.back();
    }
    for (const auto position : changed)
    {
        if (const auto* const found = find(position))
        {
            changes.routes.push_back(state::encode_route(*found->route));
        }
        else
        {
            changes.removed.push_back(position);
        }
    }
    return changes;
}

plan_page plan_publisher::compare(const plan_request& request,
                                  plan_page page) const
{
    const auto count = request.part_digests.size();
    const auto wanted = state::plan_part_count(index_.size());
    // Parts that are much too large for this plan would not fit into a page.
    if (count * 2 < wanted)
    {
        page.content = plan_comparison{static_cast<std::uint32_t>(wanted)};
        return page;
    }
    plan_parts parts;
    std::size_t routes = 0;
    auto next = index_.begin();
    for (std::size_t part = 0; part < count && routes < plan_page_routes;
         ++part)
    {
        const auto end =
            part + 1 == count
                ? index_.end()
                : lower_bound(state::first_position(part + 1, count));
        std::uint64_t digest = 0;
        std::for_each(next, end,
                      [&digest](const indexed_route& each)
                      { digest += each.digest; });
        if (digest != request.part_digests[part])
        {
            auto& added = parts.parts.emplace_back();
            added.index = static_cast<std::uint32_t>(part);
            std::transform(next, end, std::back_inserter(added.routes),
                           [](const indexed_route& each)
                           { return state::encode_route(*each.route); });
            routes += added.routes.size();
        }
        next = end;
    }
    if (!parts.parts.empty())
    {
        page.content = std::move(parts);
    }
    return page;
}

} // namespace boragestand::coordination
