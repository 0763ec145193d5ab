#pragma once

#include "configuration_publisher.hpp"
#include "coordination/coordination.hpp"
#include "transport/transport.hpp"
#include "upstream_announcement.hpp"

#include <functional>
#include <memory>
#include <string>

namespace boragestand::entry
{

/// Callbacks of http_service into the entry instance.
struct http_service_hooks
{
    /// Handles a validated announcement.
    std::function<void(const upstream_announcement&)> on_announcement;
    /// Handles the withdrawal of the upstream with this name.
    std::function<void(service_id, std::string_view)> on_withdrawal;
    /// Starts a planned stop.
    std::function<void()> drain;
    /// Changes the level of the log.
    std::function<result<void>(const std::string&)> set_log_level;
    /// Returns the metrics in the Prometheus text format.
    std::function<std::string()> metrics;
    /// Returns the status as a JSON object.
    std::function<std::string()> status;
    /// Returns the configuration in effect.
    std::function<std::shared_ptr<const state::configuration>()> configuration;
    /// Returns the wall-clock time, which orders announcements that carry no
    /// sequence.
    std::function<wall_time()> wall_now;
};

/// Answers the HTTP/2 requests of upstreams, peers and operators.
class http_service
{
public:
    using exchange = std::shared_ptr<transport::http_exchange>;

    http_service(data_centre_id data_centre, configuration_publisher& publisher,
                 http_service_hooks hooks);

    /// Answers one request.
    void handle(const transport::http_request& request, const exchange& answer);

private:
    void announce(const transport::http_request& request,
                  std::string_view service_and_name, const exchange& answer);
    void withdraw(std::string_view service_and_name, const exchange& answer);
    void stream_configuration(std::string_view path, const exchange& answer);
    void change_log_level(const std::string& body, const exchange& answer);
    result<const state::service*> find_service(std::string_view name) const;

    data_centre_id data_centre_;
    configuration_publisher& publisher_;
    http_service_hooks hooks_;
};

} // namespace boragestand::entry
