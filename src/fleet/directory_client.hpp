#pragma once

#include "coordination/coordination.hpp"

#include <functional>
#include <memory>

namespace boragestand::fleet
{

/// What a reply holds of the records of a control instance.
enum class reply_scope : std::uint8_t
{
    changes, ///< those that have changed
    part,    ///< some of all, further ones follow
    whole    ///< all
};

/// A reply of a control instance.
struct directory_update
{
    coordination::directory_reply reply; ///< with all records if whole
    reply_scope scope{reply_scope::changes};
    /// When the request was sent. The reply may have waited since it was
    /// written, for example while this process was paused, so it proves nothing
    /// about a later time.
    time_point asked_at;

    auto operator<=>(const directory_update&) const = default;
};

/// Polls the directory of one control instance continuously: the list of
/// upstreams, the plan and the control instances.
class directory_client
{
public:
    /// Callbacks of the owner.
    struct hooks
    {
        /// The next request; the client fills in what it knows of its replies.
        std::function<coordination::directory_request()> request;
        /// A reply arrived.
        std::function<void(const directory_update&)> replied;
        /// A request failed; returns true to retry.
        std::function<bool(const error&)> failed;
    };

    directory_client(
        transport::main_loop& loop, transport::timer_service& timers,
        const transport::endpoint& remote, hooks callbacks,
        duration connect_timeout = transport::default_connect_timeout);

    /// Sends the first request; polls until stop() or destruction.
    void start() { send_request(); }

    /// Sends no further requests; outstanding replies are ignored, and a page
    /// of the plan that is outstanding fails with error_kind::cancelled.
    void stop();

    using page_callback =
        std::function<void(result<coordination::plan_page>, std::size_t bytes)>;

    /// Requests a page of the plan, one at a time, beside the directory.
    void request_plan(const coordination::plan_request& request,
                      page_callback callback);

    /// The newest version of the plan that the control instance has named.
    std::uint64_t named_plan() const { return named_plan_; }

    const transport::endpoint& remote() const { return remote_; }

    /// When the last request that was answered was sent; none before the first
    /// answer.
    std::optional<time_point> last_contact() const { return last_contact_; }

private:
    void send_request();
    directory_update take_page(coordination::directory_reply reply);
    void handle_response(const result<transport::http_response>& response);
    void handle_page(const result<transport::http_response>& response);
    result<void>
    check_status(const result<transport::http_response>& response) const;
    void handle_failure(const error& cause);

    transport::timer_service& timers_;
    transport::endpoint remote_;
    hooks hooks_;
    transport::http2_client client_;
    transport::subscription retry_;
    std::uint64_t epoch_{0};
    std::uint64_t cursor_{0};
    bool current_{false};
    std::uint64_t named_plan_{0};
    page_callback page_callback_;
    bool stopped_{false};
    time_point asked_at_;
    std::optional<time_point> last_contact_;
    /// Records of the pages of a whole directory; none outside of one.
    std::optional<std::vector<coordination::registered_upstream>> pages_;
};

} // namespace boragestand::fleet
