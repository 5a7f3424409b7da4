//! Type aliases for identifiers.

/// Names an instance in any role: router, engine or service.
pub type InstanceId = String;
/// Names a router.
pub type RouterId = InstanceId;
/// Names an endpoint: a model engine or a plain service instance.
pub type EndpointId = InstanceId;
/// Names a failure domain.
pub type DomainId = String;
/// Names a region, a group of failure domains.
pub type RegionId = String;
/// Names a customer on whose behalf callers send requests.
pub type CustomerId = String;
/// Names a class of work.
pub type ClassName = String;
/// Names a team of operators.
pub type TeamId = String;
/// Names a model, or the service name of a plain service.
pub type ModelName = String;
/// Version of the fleet configuration. It only increases.
pub type Version = u64;
/// Hash that identifies a chat of one customer.
pub type ChatKey = u64;
/// Hash of the customer and body of a request, under which crashes are recorded.
pub type Fingerprint = u64;
/// Random value that identifies one write attempt in the table service.
pub type Nonce = u128;
