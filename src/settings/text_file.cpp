#include "settings/text_file.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>

namespace boragestand::settings
{

namespace
{

// A typical settings file fits in one block.
constexpr std::size_t block_size = 4096;

} // namespace

result<std::string> read_text_file(const std::string& path,
                                   std::size_t max_size)
{
    errno = 0;
    std::ifstream file(path, std::ios_base::binary);
    std::string text;
    std::array<char, block_size> block{};
    while (file && text.size() <= max_size)
    {
        file.read(block.data(), block.size());
        text.append(block.data(), static_cast<std::size_t>(file.gcount()));
    }
    // A short read sets failbit too, so failbit is no sign of an error. A
    // directory opens but cannot be read, which sets errno.
    if (!file.is_open() || file.bad() || errno != 0)
    {
        return failure(error_kind::not_found,
                       path + " cannot be read: " + std::strerror(errno));
    }
    if (text.size() > max_size)
    {
        return failure(error_kind::resource_exhausted,
                       path + " is longer than " + std::to_string(max_size) +
                           " bytes");
    }
    return text;
}

} // namespace boragestand::settings
