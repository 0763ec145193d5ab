#include "transport/background_worker.hpp"

#include <system_error>

#include <sys/eventfd.h>
#include <unistd.h>

namespace boragestand::transport
{

background_worker::background_worker(main_loop& loop)
    : finished_event_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (!finished_event_)
    {
        throw std::system_error(errno, std::generic_category(), "eventfd");
    }
    watch_ = loop.watch(finished_event_.value(), readiness::readable,
                        [this](readiness) { finish_tasks(); });
    thread_ =
        std::jthread([this](const std::stop_token& stop) { work_until(stop); });
}

background_worker::~background_worker()
{
    watch_.cancel();
    thread_.request_stop();
    thread_.join();
}

void background_worker::enqueue(task added)
{
    ++pending_;
    const std::lock_guard lock(mutex_);
    waiting_.push_back(std::move(added));
    added_.notify_one();
}

void background_worker::work_until(const std::stop_token& stop)
{
    std::unique_lock lock(mutex_);
    while (added_.wait(lock, stop, [this] { return !waiting_.empty(); }) &&
           !stop.stop_requested())
    {
        auto next = std::move(waiting_.front());
        waiting_.pop_front();
        lock.unlock();
        next.work();
        lock.lock();
        finished_.push_back(std::move(next));
        ::eventfd_write(finished_event_.value(), 1);
    }
}

void background_worker::finish_tasks()
{
    eventfd_t count = 0;
    ::eventfd_read(finished_event_.value(), &count);
    std::vector<task> finished;
    {
        const std::lock_guard lock(mutex_);
        finished.swap(finished_);
    }
    for (const auto& each : finished)
    {
        --pending_;
        each.done();
    }
}

} // namespace boragestand::transport
