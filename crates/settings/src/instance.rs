//! Who this instance is.

use crate::role::Role;

/// The instance's identity and roles.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Name of the data centre that the instance stands in.
    pub centre: Box<str>,
    /// Name of the instance, unique in the deployment.
    pub name: Box<str>,
    /// What the instance does; never empty, no role twice.
    pub roles: Box<[Role]>,
}

impl Instance {
    /// Whether the instance has the role.
    pub fn has(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }
}
