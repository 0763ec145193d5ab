#pragma once

#include "transport/main_loop.hpp"
#include "transport/unique_fd.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <stop_token>
#include <thread>
#include <utility>
#include <vector>

namespace boragestand::transport
{

/// Runs functions one after the other on a thread of its own, so that long ones
/// do not delay the callbacks of a main loop.
class background_worker
{
public:
    explicit background_worker(main_loop& loop);

    /// Waits for the function that is running; no callbacks run from then on.
    ~background_worker();

    background_worker(const background_worker&) = delete;
    background_worker& operator=(const background_worker&) = delete;

    /// Calls work on the thread and then done on the loop with its result. work
    /// must not use anything that the loop's thread uses.
    template <typename Work, typename Done>
    void run(Work work, Done done)
    {
        using value = decltype(work());
        const auto returned = std::make_shared<std::optional<value>>();
        enqueue({[returned, work = std::move(work)]() mutable
                 { returned->emplace(work()); },
                 [returned, done = std::move(done)]() mutable
                 {
                     done(std::move(**returned));
                 }});
    }

    /// Functions whose done callback has not run yet.
    std::size_t pending() const { return pending_; }

private:
    struct task
    {
        std::function<void()> work;
        std::function<void()> done;
    };

    void enqueue(task added);
    void work_until(const std::stop_token& stop);
    void finish_tasks();

    unique_fd finished_event_; ///< signals the loop
    subscription watch_;
    std::size_t pending_{0};
    std::mutex mutex_; ///< guards the two below
    std::deque<task> waiting_;
    std::vector<task> finished_;
    std::condition_variable_any added_;
    std::jthread thread_;
};

} // namespace boragestand::transport
