#pragma once

#include "transport/transport.hpp"

#include <boost/program_options.hpp>

#include <functional>
#include <string>

namespace boragestand::standins
{

namespace options = boost::program_options;

/// Event loop and timers of a stand-in, a program that takes the place of a
/// caller, an upstream, the fabric or a director in tests.
struct program
{
    transport::main_loop loop;
    transport::timer_service timers{loop};

    /// Runs the loop until it is quit. SIGTERM, SIGINT and the time limit call
    /// stop.
    void run(duration time_limit, const std::function<void()>& stop);
};

/// Parses the command line. Exits after printing the help text if it was asked
/// for, or an error if the arguments are invalid.
options::variables_map parse_options(int argc, char** argv,
                                     options::options_description& accepted);

/// Returns the endpoint in an option; exits with an error if it is invalid.
transport::endpoint endpoint_option(const options::variables_map& values,
                                    const std::string& name);

/// Returns the duration in an option that counts milliseconds.
duration milliseconds_option(const options::variables_map& values,
                             const std::string& name);

/// Prints the error and exits with the status of its kind.
[[noreturn]] void exit_with_error(const error& reason);

/// Returns the value of a result; exits with the error if it holds one.
template <typename Value>
Value value_or_exit(result<Value> outcome)
{
    if (!outcome)
    {
        exit_with_error(outcome.error());
    }
    return std::move(*outcome);
}

} // namespace boragestand::standins
