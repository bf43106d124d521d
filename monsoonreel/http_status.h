// HTTP status codes that the program sends or distinguishes.

#ifndef MONSOONREEL_HTTP_STATUS_H
#define MONSOONREEL_HTTP_STATUS_H

namespace monsoonreel::http_status {

constexpr int switching_protocols = 101;
constexpr int ok = 200;
constexpr int accepted = 202;
constexpr int no_content = 204;
constexpr int not_modified = 304;
constexpr int temporary_redirect = 307;
constexpr int permanent_redirect = 308;
constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int forbidden = 403;
constexpr int not_found = 404;
constexpr int method_not_allowed = 405;
constexpr int request_timeout = 408;
constexpr int conflict = 409;
constexpr int gone = 410;
constexpr int precondition_failed = 412;
constexpr int length_required = 411;
constexpr int content_too_large = 413;
constexpr int too_many_requests = 429;
constexpr int misdirected_request = 421;
constexpr int header_fields_too_large = 431;
constexpr int not_implemented = 501;
constexpr int bad_gateway = 502;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;
constexpr int version_not_supported = 505;

} // namespace monsoonreel::http_status

#endif // MONSOONREEL_HTTP_STATUS_H
