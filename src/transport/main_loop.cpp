#include "transport/main_loop.hpp"

#include <glib-unix.h>
#include <glib.h>

#include <utility>
#include <vector>

namespace boragestand::transport
{

namespace
{

using fd_callback = std::function<void(readiness)>;

GIOCondition condition_of(readiness wanted)
{
    unsigned condition = 0;
    if (static_cast<unsigned>(wanted) &
        static_cast<unsigned>(readiness::readable))
    {
        condition |= G_IO_IN;
    }
    if (static_cast<unsigned>(wanted) &
        static_cast<unsigned>(readiness::writable))
    {
        condition |= G_IO_OUT;
    }
    return static_cast<GIOCondition>(condition);
}

readiness readiness_of(GIOCondition condition)
{
    unsigned ready = 0;
    if (condition & (G_IO_IN | G_IO_HUP | G_IO_ERR))
    {
        ready |= static_cast<unsigned>(readiness::readable);
    }
    if (condition & G_IO_OUT)
    {
        ready |= static_cast<unsigned>(readiness::writable);
    }
    return static_cast<readiness>(ready);
}

// Exceptions must not propagate through the C frames of GLib, so every function
// that it calls is noexcept.
gboolean dispatch_fd(gint, GIOCondition condition, gpointer data) noexcept
{
    (*static_cast<fd_callback*>(data))(readiness_of(condition));
    return G_SOURCE_CONTINUE;
}

gboolean dispatch_repeated(gpointer data) noexcept
{
    (*static_cast<std::function<void()>*>(data))();
    return G_SOURCE_CONTINUE;
}

gboolean dispatch_once(gpointer data) noexcept
{
    (*static_cast<std::function<void()>*>(data))();
    return G_SOURCE_REMOVE;
}

template <typename Callback>
void delete_callback(gpointer data) noexcept
{
    delete static_cast<Callback*>(data);
}

// Attaches the source to the default context. GLib keeps the callback alive
// while it runs, so a callback may cancel its own subscription.
template <typename Callback>
subscription attach(GSource* source, GSourceFunc dispatch, Callback callback)
{
    g_source_set_callback(source, dispatch, new Callback(std::move(callback)),
                          &delete_callback<Callback>);
    g_source_attach(source, nullptr);
    return subscription(
        [source]
        {
            g_source_destroy(source);
            g_source_unref(source);
        });
}

guint milliseconds_of(duration delay)
{
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(delay);
    return rounded.count() < 0 ? 0 : static_cast<guint>(rounded.count());
}

} // namespace

subscription::subscription(std::function<void()> cancel)
    : cancel_(std::move(cancel))
{
}

subscription::~subscription()
{
    cancel();
}

subscription::subscription(subscription&& other) noexcept
    : cancel_(std::exchange(other.cancel_, nullptr))
{
}

subscription& subscription::operator=(subscription&& other) noexcept
{
    if (this != &other)
    {
        cancel();
        cancel_ = std::exchange(other.cancel_, nullptr);
    }
    return *this;
}

void subscription::cancel()
{
    if (const auto action = std::exchange(cancel_, nullptr))
    {
        action();
    }
}

struct main_loop::implementation
{
    GMainLoop* loop{g_main_loop_new(nullptr, FALSE)};
    std::vector<std::function<void()>> posted;
    subscription posted_source;

    implementation() = default;
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    ~implementation() { g_main_loop_unref(loop); }

    void run_posted()
    {
        for (const auto& callback : std::exchange(posted, {}))
        {
            callback();
        }
    }
};

main_loop::main_loop() : implementation_(std::make_unique<implementation>()) {}

main_loop::~main_loop() = default;

void main_loop::run()
{
    g_main_loop_run(implementation_->loop);
}

void main_loop::quit()
{
    g_main_loop_quit(implementation_->loop);
}

subscription main_loop::watch(int fd, readiness wanted,
                              std::function<void(readiness)> callback)
{
    return attach<fd_callback>(g_unix_fd_source_new(fd, condition_of(wanted)),
                               G_SOURCE_FUNC(&dispatch_fd),
                               std::move(callback));
}

subscription main_loop::on_signal(int signal_number,
                                  std::function<void()> callback)
{
    return attach(g_unix_signal_source_new(signal_number), &dispatch_repeated,
                  std::move(callback));
}

subscription main_loop::schedule(duration delay, bool repeat,
                                 std::function<void()> callback)
{
    // A periodic timer with interval 0 would make the loop spin.
    const guint interval = milliseconds_of(delay);
    return attach(g_timeout_source_new(repeat && interval == 0 ? 1 : interval),
                  repeat ? &dispatch_repeated : &dispatch_once,
                  std::move(callback));
}

void main_loop::post(std::function<void()> callback)
{
    implementation_->posted.push_back(std::move(callback));
    if (implementation_->posted.size() > 1)
    {
        return;
    }
    implementation_->posted_source =
        schedule(duration{0}, false,
                 [state = implementation_.get()] { state->run_posted(); });
}

} // namespace boragestand::transport
