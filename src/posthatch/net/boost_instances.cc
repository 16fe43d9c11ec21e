// Instantiates the separately compiled parts of Asio and Beast; see
// posthatch_boost in cmake/Dependencies.cmake.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
