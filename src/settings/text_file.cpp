#include "settings/text_file.hpp"

#include <cerrno>
#include <cstring>
#include <fstream>

namespace boragestand::settings
{

result<std::string> read_text_file(const std::string& path,
                                   std::size_t max_size)
{
    errno = 0;
    std::ifstream file(path, std::ios_base::binary);
    std::string text(max_size + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    // A short read sets failbit as well; badbit or no open file is a failure,
    // and so is a directory, which opens but cannot be read.
    if (!file.is_open() || file.bad() || errno != 0)
    {
        return failure(error_kind::not_found,
                       path + " cannot be read: " + std::strerror(errno));
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > max_size)
    {
        return failure(error_kind::resource_exhausted,
                       path + " is longer than " + std::to_string(max_size) +
                           " bytes");
    }
    return text;
}

} // namespace boragestand::settings
