// The I/O layer: everything between the reducers of the library and the
// outside.
//
//   http_server      bounded HTTP/1.1 server for callers and operators
//
// All of it runs in one thread with a Qt event loop.

#ifndef IO_IO_H
#define IO_IO_H

#include "io/clock.h"
#include "io/http_server.h"

#endif // IO_IO_H
