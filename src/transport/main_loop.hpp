#pragma once

#include "base/base.hpp"

#include <functional>
#include <memory>

namespace boragestand::transport
{

/// Owns a registration, such as a callback of the main loop, and cancels it
/// on destruction.
class [[nodiscard]] subscription
{
public:
    subscription() = default;
    explicit subscription(std::function<void()> cancel);
    ~subscription();

    subscription(subscription&& other) noexcept;
    subscription& operator=(subscription&& other) noexcept;

    /// Cancels the registration.
    void cancel();

private:
    std::function<void()> cancel_;
};

/// Readiness conditions of a file descriptor, as a bit mask.
enum class readiness : unsigned
{
    none = 0,
    readable = 1,
    writable = 2,
    both = 3
};

/// The event loop of a process, on GLib's default main context. All callbacks
/// run on the thread that calls run().
class main_loop
{
public:
    main_loop();
    ~main_loop();

    main_loop(const main_loop&) = delete;
    main_loop& operator=(const main_loop&) = delete;

    /// Runs until quit() is called.
    void run();

    /// Makes run() return after the current callback.
    void quit();

    /// Calls back whenever the descriptor is ready. The descriptor must outlive
    /// the subscription. Errors and hang-ups are reported as readable.
    subscription watch(int fd, readiness wanted,
                       std::function<void(readiness)> callback);

    /// Calls back on the loop when the process receives the signal (SIGINT,
    /// SIGTERM, SIGHUP or SIGUSR1).
    subscription on_signal(int signal_number, std::function<void()> callback);

    /// Calls back after the delay, once or periodically. The delay is rounded
    /// up to whole milliseconds.
    subscription schedule(duration delay, bool repeat,
                          std::function<void()> callback);

    /// Calls back once on the next iteration of the loop, unless the loop is
    /// destroyed first.
    void post(std::function<void()> callback);

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace boragestand::transport
