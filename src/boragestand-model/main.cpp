#include "measurements.hpp"

#include <boost/program_options.hpp>

#include <iostream>

namespace
{

namespace options = boost::program_options;
using namespace boragestand;

options::options_description make_options_description()
{
    options::options_description all("boragestand-model");
    all.add_options()("help", "print this text")(
        "measure", options::value<std::string>()->default_value("all"),
        "name of one measurement, or all")(
        "seed", options::value<std::uint64_t>()->default_value(4117),
        "seed of the demand");
    return all;
}

int run(const std::string& name, std::uint64_t seed)
{
    bool known = false;
    for (const model::measurement& item : model::measurements())
    {
        if (name != "all" && name != item.name)
        {
            continue;
        }
        known = true;
        for (log_line& line : item.run(seed))
        {
            std::cout << line.with("seed", seed).text() << std::endl;
        }
    }
    if (known)
    {
        return 0;
    }
    std::cerr << "measurement \"" << name << "\" does not exist\n";
    return error_info_for(error_kind::not_found).exit_status;
}

} // namespace

int main(int argc, char** argv)
{
    options::variables_map chosen;
    try
    {
        options::store(
            options::parse_command_line(argc, argv, make_options_description()),
            chosen);
    }
    catch (const options::error& fault)
    {
        std::cerr << fault.what() << '\n';
        return error_info_for(error_kind::invalid_argument).exit_status;
    }
    if (chosen.count("help") > 0)
    {
        std::cout << make_options_description();
        return 0;
    }
    return run(chosen["measure"].as<std::string>(),
               chosen["seed"].as<std::uint64_t>());
}
