#include "settings/settings.hpp"
