#pragma once

/// Public header of the base library: error kinds, time, identities, hashing
/// and log lines. Every other library uses it.

#include "base/error.hpp"
#include "base/hash.hpp"
#include "base/identity.hpp"
#include "base/log_line.hpp"
#include "base/random.hpp"
#include "base/scope_guard.hpp"
#include "base/time.hpp"
#include "base/token_bucket.hpp"
