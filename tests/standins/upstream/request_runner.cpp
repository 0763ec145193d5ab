#include "request_runner.hpp"

#include <algorithm>
#include <utility>

namespace boragestand::standins
{

namespace
{

constexpr duration progress_interval = std::chrono::milliseconds(50);

} // namespace

request_runner::request_runner(program& host, const runner_settings& settings,
                               std::string name)
    : host_(host)
    , settings_(settings)
    , name_(std::move(name))
    , started_(host.timers.now())
{
}

std::uint64_t request_runner::submit(const request& requested,
                                     progress_callback on_progress,
                                     end_callback on_end)
{
    const std::uint64_t run_id = next_run_id_++;
    ++counters_.requests;
    if (waiting_.size() >= settings_.shed_queue)
    {
        ++counters_.shed;
        on_end(outcome::shed);
        return run_id;
    }
    task added;
    added.requested = requested;
    added.arrival = host_.timers.now();
    added.on_progress = std::move(on_progress);
    added.on_end = std::move(on_end);
    waiting_.emplace_back(run_id, std::move(added));
    start_waiting_requests();
    return run_id;
}

bool request_runner::has_expired(const task& candidate) const
{
    const auto limit =
        std::chrono::milliseconds(candidate.requested.deadline_ms);
    return limit.count() > 0 &&
           host_.timers.now() - candidate.arrival > duration(limit);
}

void request_runner::start_waiting_requests()
{
    while (!waiting_.empty() && running_.size() < settings_.slots)
    {
        auto [run_id, next] = std::move(waiting_.front());
        waiting_.pop_front();
        if (has_expired(next))
        {
            ++counters_.expired;
            next.on_end(outcome::expired);
            continue;
        }
        start(run_id, std::move(next));
    }
}

void request_runner::start(std::uint64_t run_id, task next)
{
    settings_.log->record(next.requested.id, name_);
    next.start = host_.timers.now();
    const bool cold = next.start - started_ < settings_.cold_time;
    const double milliseconds =
        next.requested.work_ms * (cold ? settings_.cold_factor : 1.0);
    next.work = duration(static_cast<duration::rep>(milliseconds * 1000));
    next.end_timer = host_.timers.after(next.work, [this, run_id](time_point)
                                        { finish(run_id); });
    if (next.requested.is_long)
    {
        next.progress_timer = host_.timers.every(
            progress_interval,
            [this, run_id](time_point now)
            {
                const task& current = running_.at(run_id);
                const double done =
                    static_cast<double>((now - current.start).count()) /
                    static_cast<double>(current.work.count() + 1);
                current.on_progress(std::min(done, 1.0));
            });
    }
    running_.emplace(run_id, std::move(next));
}

void request_runner::finish(std::uint64_t run_id)
{
    const auto found = running_.find(run_id);
    const task done = std::move(found->second);
    running_.erase(found);
    ++counters_.completed;
    done.on_end(outcome::ok);
    start_waiting_requests();
}

void request_runner::cancel(std::uint64_t run_id)
{
    const auto waiting = std::find_if(waiting_.begin(), waiting_.end(),
                                      [run_id](const auto& item)
                                      { return item.first == run_id; });
    if (waiting != waiting_.end())
    {
        waiting_.erase(waiting);
        ++counters_.cancelled;
        return;
    }
    if (running_.erase(run_id) > 0)
    {
        ++counters_.cancelled;
        start_waiting_requests();
    }
}

} // namespace boragestand::standins
