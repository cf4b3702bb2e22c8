//! Identity and roles of an instance.

use crate::role::Role;

/// Identity and roles of an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Name of the instance's data centre.
    pub centre: Box<str>,
    /// Name of the instance, unique in the deployment.
    pub name: Box<str>,
    /// Roles, at least one and without duplicates.
    pub roles: Box<[Role]>,
}

impl Instance {
    /// Whether the instance has the role.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }
}
