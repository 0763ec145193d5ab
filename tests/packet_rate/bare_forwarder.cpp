// Forwards every datagram unchanged to one destination, with only recvmmsg and
// sendmmsg. Its packet rate is the upper bound for an entry process on the same
// machine.

#include "transport/transport.hpp"

#include <csignal>
#include <cstdio>
#include <vector>

using namespace boragestand;

namespace
{

constexpr int expected_arguments = 3;

void forward(transport::udp_socket& socket, const transport::endpoint& target,
             std::vector<transport::outgoing_datagram>& outgoing)
{
    const auto batch = socket.receive();
    outgoing.clear();
    for (const auto& datagram : batch)
    {
        outgoing.push_back({target, datagram.bytes, {}});
    }
    socket.send(outgoing);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != expected_arguments)
    {
        std::fprintf(stderr, "usage: bare-forwarder LOCAL TARGET\n");
        return error_info_for(error_kind::invalid_argument).exit_status;
    }
    const auto local = transport::parse_endpoint(argv[1]);
    const auto target = transport::parse_endpoint(argv[2]);
    if (!local || !target)
    {
        std::fprintf(stderr, "LOCAL and TARGET must be A.B.C.D:PORT\n");
        return error_info_for(error_kind::invalid_argument).exit_status;
    }
    transport::main_loop loop;
    auto socket = transport::udp_socket::bind(*local);
    if (!socket)
    {
        std::fprintf(stderr, "%s\n", socket.error().message.c_str());
        return error_info_for(socket.error().kind).exit_status;
    }
    std::vector<transport::outgoing_datagram> outgoing;
    const auto watch = loop.watch(socket->fd(), transport::readiness::readable,
                                  [&](transport::readiness)
                                  { forward(*socket, *target, outgoing); });
    const auto stop = loop.on_signal(SIGTERM, [&loop] { loop.quit(); });
    loop.run();
    return 0;
}
