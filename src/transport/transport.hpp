#pragma once

/// Public header of the transport library: main loop, timer service, UDP
/// sockets, HTTP/2 connections and HTTP/1.1 servers. It does not depend on the
/// messages that it carries.

#include "transport/background_worker.hpp"
#include "transport/endpoint.hpp"
#include "transport/http1_server.hpp"
#include "transport/http2_client.hpp"
#include "transport/http2_message.hpp"
#include "transport/http2_server.hpp"
#include "transport/main_loop.hpp"
#include "transport/timer_service.hpp"
#include "transport/udp_socket.hpp"
#include "transport/unique_fd.hpp"
