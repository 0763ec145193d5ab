// Test peers of one entry process whose packet rate is measured: a control
// instance that streams a configuration with one service, and an upstream that
// announces itself and receives the packets. Counts the packets that arrive in
// the measuring interval and prints one line.

#include "coordination/coordination.hpp"
#include "transport/transport.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>

using namespace boragestand;

namespace
{

constexpr int expected_arguments = 6;

std::string configuration_frame()
{
    state::service service;
    service.id = service_id{1};
    service.name = "measured";
    service.address = *transport::parse_endpoint("10.0.0.1:443");
    service.idempotent = true;
    state::configuration configuration;
    configuration.revision = 1;
    configuration.note_number = 1;
    configuration.last_service = 1;
    configuration.services.push_back(service);
    const auto bytes = state::encode_configuration_update(configuration);
    std::string frame;
    for (int shift = 24; shift >= 0; shift -= 8)
    {
        frame += static_cast<char>(bytes.size() >> shift & 0xff);
    }
    frame.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    return frame;
}

/// Streams the configuration to each client, with an empty keep-alive frame
/// each second.
class fake_control
{
public:
    explicit fake_control(transport::timer_service& timers)
        : timer_(timers.every(std::chrono::seconds(1),
                              [this](time_point)
                              {
                                  for (const auto& stream : streams_)
                                  {
                                      stream->send_chunk(std::string(4, '\0'));
                                  }
                              }))
    {
    }

    void handle(const transport::http_request& request,
                std::shared_ptr<transport::http_exchange> answer)
    {
        if (!request.path.starts_with("/v1/configuration/stream"))
        {
            answer->respond({});
            return;
        }
        answer->start_stream(200, {});
        answer->send_chunk(configuration_frame());
        streams_.push_back(std::move(answer));
    }

private:
    std::vector<std::shared_ptr<transport::http_exchange>> streams_;
    transport::subscription timer_;
};

transport::http_request announcement(const transport::endpoint& sink)
{
    const nlohmann::json body{
        {"address", transport::format_address(sink.address)},
        {"port", sink.port},
        {"slots", 60000},
        {"connections", 1000000},
        {"lease_ms", 60000}};
    return {.method = "PUT",
            .path = "/v1/upstreams/measured/sink",
            .body = body.dump()};
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != expected_arguments)
    {
        std::fprintf(stderr, "usage: packet-rate-peer CONTROL SINK ENTRY_HTTP "
                             "WARMUP_SECONDS SECONDS\n");
        return error_info_for(error_kind::invalid_argument).exit_status;
    }
    const auto control_address = transport::parse_endpoint(argv[1]);
    const auto sink_address = transport::parse_endpoint(argv[2]);
    const auto entry_address = transport::parse_endpoint(argv[3]);
    const std::chrono::seconds warmup(std::atoi(argv[4]));
    const std::chrono::seconds measured(std::atoi(argv[5]));
    if (!control_address || !sink_address || !entry_address)
    {
        return error_info_for(error_kind::invalid_argument).exit_status;
    }
    transport::main_loop loop;
    transport::timer_service timers(loop);
    fake_control control(timers);
    const auto server = transport::http2_server::listen(
        loop, *control_address,
        [&control](const transport::http_request& request,
                   std::shared_ptr<transport::http_exchange> answer)
        { control.handle(request, std::move(answer)); });
    auto sink = transport::udp_socket::bind(*sink_address);
    if (!server || !sink)
    {
        std::fprintf(stderr, "an address is in use\n");
        return error_info_for(error_kind::unavailable).exit_status;
    }
    const auto watch =
        loop.watch(sink->fd(), transport::readiness::readable,
                   [&sink](transport::readiness) { sink->receive(); });

    transport::http2_client entry(loop, timers, *entry_address);
    int announced_status = 0;
    const auto announce = timers.every(
        std::chrono::milliseconds(500),
        [&](time_point)
        {
            entry.request(announcement(*sink_address), std::chrono::seconds(1),
                          [&](const result<transport::http_response>& answer)
                          { announced_status = answer ? answer->status : 0; });
        });

    std::uint64_t received_at_start = 0;
    const auto begin =
        timers.after(warmup, [&](time_point)
                     { received_at_start = sink->counters().received; });
    const auto end =
        timers.after(warmup + measured, [&](time_point) { loop.quit(); });
    loop.run();
    const auto packets = sink->counters().received - received_at_start;
    std::printf("packets=%llu seconds=%lld packets_per_second=%llu "
                "announce_status=%d\n",
                static_cast<unsigned long long>(packets),
                static_cast<long long>(measured.count()),
                static_cast<unsigned long long>(packets) /
                    static_cast<unsigned long long>(measured.count()),
                announced_status);
    return 0;
}
