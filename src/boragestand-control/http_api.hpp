#pragma once

#include "command_service.hpp"
#include "configuration_streams.hpp"
#include "director_requests.hpp"
#include "entry_reports.hpp"
#include "replica/replica.hpp"

namespace boragestand::control
{

/// Components that handle the requests.
struct api_dependencies
{
    replica_host& host;
    replica::group_api& group;
    command_service& commands;
    configuration_streams& streams;
    entry_reports& reports;
    director_requests& director;
    transport::timer_service& timers;
    control_log& log;
};

/// Answers the HTTP/2 requests of operators, entry instances and other control
/// instances.
class http_api
{
public:
    using exchange = std::shared_ptr<transport::http_exchange>;

    explicit http_api(const api_dependencies& dependencies)
        : dependencies_(dependencies)
    {
    }

    /// Answers one request.
    void handle(const transport::http_request& request, const exchange& answer);

    /// Rejects commands and member changes from now on.
    void stop_accepting() { stopping_ = true; }

private:
    bool handle_get(const transport::http_request& request,
                    const exchange& answer);
    bool handle_post(const transport::http_request& request,
                     const exchange& answer);
    void report_revision(const transport::http_request& request,
                         const exchange& answer);
    void request_director(const transport::http_request& request,
                          const exchange& answer);
    void send_note(std::string_view number, const exchange& answer);
    void open_stream(std::string_view path, const exchange& answer);
    std::string status() const;

    api_dependencies dependencies_;
    bool stopping_{false};
};

} // namespace boragestand::control
