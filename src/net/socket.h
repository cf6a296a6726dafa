// Includes all TCP headers: descriptors, addresses, streams and listeners.
#pragma once

#include "net/address.h"
#include "net/file_descriptor.h"
#include "net/listener.h"
#include "net/stream.h"
