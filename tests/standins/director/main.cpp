#include "program.hpp"

#include <iostream>
#include <map>

using namespace boragestand;
using namespace boragestand::standins;

namespace
{

// Limit of the distinct request bodies that are counted.
constexpr std::size_t max_distinct_requests = 10000;

} // namespace

int main(int argc, char** argv)
{
    options::options_description accepted("standin-director");
    accepted.add_options()(
        "listen",
        options::value<std::string>()->default_value("127.9.0.2:7300"),
        "HTTP/2 endpoint")(
        "path", options::value<std::string>()->default_value("/v1/wake"),
        "path of wake requests")("status",
                                 options::value<int>()->default_value(200),
                                 "status of the answers");
    const auto values = parse_options(argc, argv, accepted);

    program host;
    std::uint64_t wakes = 0;
    std::uint64_t rejected = 0;
    std::map<std::string, std::uint64_t> distinct;
    const auto handle =
        [&](const transport::http_request& request,
            const std::shared_ptr<transport::http_exchange>& exchange)
    {
        if (request.method != "POST" ||
            request.path != values["path"].as<std::string>())
        {
            ++rejected;
            exchange->respond({404, {}, ""});
            return;
        }
        ++wakes;
        if (distinct.size() < max_distinct_requests)
        {
            ++distinct[request.body];
        }
        std::cerr << log_line("wake").with("body", request.body).text() << '\n';
        exchange->respond({values["status"].as<int>(), {}, "{}"});
    };
    const auto server = value_or_exit(transport::http2_server::listen(
        host.loop, endpoint_option(values, "listen"), handle));
    host.run(milliseconds_option(values, "time-limit-ms"),
             [&] { host.loop.quit(); });
    std::cout << "director wakes=" << wakes << " distinct=" << distinct.size()
              << " rejected=" << rejected << std::endl;
}
