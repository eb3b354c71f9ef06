use http_types::Request;

/// the key of an `Authorization: Bearer` header.
pub fn bearer_key(request: &Request) -> Option<&str> {
    request.header("authorization")?.as_str().strip_prefix("Bearer ")
}
