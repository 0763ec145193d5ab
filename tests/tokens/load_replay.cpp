#include "load_replay.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace boragestand::traffic
{

namespace
{

constexpr std::size_t slots = 2;
constexpr std::size_t queue_length = 8;
constexpr double remote_penalty = 0.3;

time_point at(double seconds)
{
    return time_point(std::chrono::hours(1)) +
           std::chrono::duration_cast<duration>(
               std::chrono::duration<double>(seconds));
}

/// Numbers from 0 to 1 that are the same in each run.
double number(std::uint64_t seed)
{
    constexpr int unused_bits = 11;
    return static_cast<double>(mix_hashes(seed, 7) >> unused_bits) * 0x1.0p-53;
}

/// One upstream with its slots and queue.
class queue_model
{
public:
    /// Returns when the request ends; none if the queue is full.
    std::optional<double> add(double now, double work)
    {
        while (!ends_.empty() && ends_.front() <= now)
        {
            ends_.pop_front();
        }
        if (ends_.size() >= slots + queue_length)
        {
            return std::nullopt;
        }
        auto& slot = *std::min_element(free_at_.begin(), free_at_.end());
        slot = std::max(slot, now) + work;
        ends_.insert(std::upper_bound(ends_.begin(), ends_.end(), slot), slot);
        return slot;
    }

private:
    std::array<double, slots> free_at_{};
    std::deque<double> ends_;
};

/// What an aggregate tells of one upstream and interval.
struct measured
{
    double busy{0};
    std::uint32_t answers{0};
    double answer_ms{0};
    std::uint32_t unanswered{0};
};

class replay_run
{
public:
    replay_run(const replayed_load& load, bool joined)
        : load_(load)
        , joined_(joined)
        , queues_(load.upstreams.size())
        , measured_(load.upstreams.size())
        , sent_(load.upstreams.size())
        , own_flows_(load.instances * load.arrivals.size(),
                     std::vector<std::uint32_t>(load.upstreams.size()))
    {
        for (std::size_t i = 0; i < load.upstreams.size(); ++i)
        {
            if (load.upstreams[i].recovers)
            {
                pace_.begin(token(i), at(0));
            }
        }
    }

    replay_result run()
    {
        const double total =
            std::accumulate(load_.arrivals.begin(), load_.arrivals.end(), 0.0);
        double now = 0;
        for (std::uint64_t request = 0; now < load_.seconds; ++request)
        {
            now += -std::log(1.0 - number(request)) / total;
            end_interval(now);
            finish_flows(now);
            serve(request, now, total);
        }
        return result();
    }

private:
    static routing_token token(std::size_t index)
    {
        return static_cast<routing_token>(index + 1);
    }

    void end_interval(double now)
    {
        if (now < interval_end_)
        {
            return;
        }
        // What is joined now was measured in the interval before.
        load_view_.apply(aggregate_, at(now));
        step_slow_starts(at(now));
        aggregate_ = {1, ++sequence_, {}};
        for (std::size_t i = 0; i < measured_.size(); ++i)
        {
            auto& each = measured_[i];
            const auto answers = std::max<std::uint32_t>(each.answers, 1);
            aggregate_.upstreams.push_back(
                {token(i), static_cast<std::uint32_t>(100 * each.busy),
                 each.answers,
                 static_cast<std::uint32_t>(each.answer_ms / answers),
                 each.unanswered});
            each = {};
        }
        interval_end_ += 1.0;
    }

    void step_slow_starts(time_point now)
    {
        std::vector<loaded_upstream> upstreams;
        for (std::size_t i = 0; i < load_.upstreams.size(); ++i)
        {
            upstreams.push_back({token(i), slots});
        }
        const double usual = usual_service_ms(load_view_, pace_, upstreams);
        for (const auto& each : upstreams)
        {
            pace_.step(each, load_view_.of(each.token), usual, now);
        }
    }

    void finish_flows(double now)
    {
        while (!open_.empty() && std::get<0>(open_.top()) <= now)
        {
            const auto [end, instance, upstream] = open_.top();
            open_.pop();
            --own_flows_[instance][upstream];
        }
    }

    std::size_t select(std::size_t data_centre, std::size_t instance,
                       std::uint64_t hash, double now)
    {
        std::vector<selection_candidate> candidates;
        for (std::size_t i = 0; i < load_.upstreams.size(); ++i)
        {
            const bool remote = load_.upstreams[i].data_centre != data_centre;
            const auto own = own_flows_[instance][i];
            selection_candidate each;
            each.id = i;
            each.token = token(i);
            each.slots = slots;
            each.cost = own + (remote ? remote_penalty : 0.0);
            each.in_progress = own;
            each.remote = remote;
            candidates.push_back(each);
        }
        selection_policy policy = select_by_own_flows{};
        if (joined_ && load_view_.is_usable(at(now)))
        {
            policy = select_by_joined_load{&load_view_, &pace_};
        }
        return select_upstream(policy, candidates, hash)->index;
    }

    std::size_t data_centre_of(std::uint64_t request, double total) const
    {
        double rest = number(request + 1000000007) * total;
        std::size_t centre = 0;
        while (centre + 1 < load_.arrivals.size() &&
               rest >= load_.arrivals[centre])
        {
            rest -= load_.arrivals[centre];
            ++centre;
        }
        return centre;
    }

    void serve(std::uint64_t request, double now, double total)
    {
        const auto centre = data_centre_of(request, total);
        const auto instance =
            centre * load_.instances + mix_hashes(request, 3) % load_.instances;
        const auto chosen =
            select(centre, instance, mix_hashes(request, 5), now);
        const auto& upstream = load_.upstreams[chosen];
        const bool counts = now >= load_.warm_up_seconds;
        requests_ += counts ? 1 : 0;
        sent_[chosen] += counts ? 1 : 0;
        remote_ += counts && upstream.data_centre != centre ? 1 : 0;
        if (upstream.failing)
        {
            ++measured_[chosen].unanswered;
            failed_ += counts ? 1 : 0;
            return;
        }
        const double work = load_.work_ms / 1000 * upstream.slowness *
                            (0.5 + number(request + 99));
        const auto end = queues_[chosen].add(now, work);
        if (!end)
        {
            rejected_ += counts ? 1 : 0;
            return;
        }
        const double taken_ms = 1000 * (*end - now);
        auto& seen = measured_[chosen];
        seen.busy += *end - now;
        ++seen.answers;
        seen.answer_ms += taken_ms;
        ++own_flows_[instance][chosen];
        open_.emplace(*end, instance, chosen);
        if (counts)
        {
            ++answered_;
            answer_ms_ += taken_ms;
            late_ += taken_ms > 10 * load_.work_ms ? 1 : 0;
        }
    }

    replay_result result() const
    {
        const double all = std::max(requests_, 1.0);
        const double answered = std::max(answered_, 1.0);
        const double mean_sent =
            all / static_cast<double>(load_.upstreams.size());
        return {rejected_ / all,
                failed_ / all,
                answer_ms_ / answered,
                late_ / answered,
                *std::max_element(sent_.begin(), sent_.end()) / mean_sent,
                remote_ / all};
    }

    using open_flow = std::tuple<double, std::size_t, std::size_t>;

    const replayed_load& load_;
    bool joined_;
    std::vector<queue_model> queues_;
    std::vector<measured> measured_;
    std::vector<double> sent_;
    std::vector<std::vector<std::uint32_t>> own_flows_;
    std::priority_queue<open_flow, std::vector<open_flow>, std::greater<>>
        open_;
    upstream_load load_view_;
    recovery_pace pace_;
    coordination::evidence_report aggregate_;
    std::uint64_t sequence_{0};
    double interval_end_{1.0};
    double requests_{0};
    double rejected_{0};
    double failed_{0};
    double answered_{0};
    double answer_ms_{0};
    double late_{0};
    double remote_{0};
};

} // namespace

replay_result replay(const replayed_load& load, bool joined)
{
    return replay_run(load, joined).run();
}

std::vector<replayed_upstream> make_upstreams(std::size_t data_centres,
                                              std::size_t count)
{
    std::vector<replayed_upstream> upstreams;
    for (std::size_t centre = 0; centre < data_centres; ++centre)
    {
        upstreams.insert(upstreams.end(), count, {centre, 1.0, false, false});
    }
    return upstreams;
}

} // namespace boragestand::traffic
