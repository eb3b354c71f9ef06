use anyhow::Context;

use crate::ids::Incarnation;
use crate::member::Member;
use crate::schema::MemberRecord;

impl TryFrom<&MemberRecord> for Member {
    type Error = anyhow::Error;

    fn try_from(record: &MemberRecord) -> Result<Self, Self::Error> {
        Ok(Self {
            name: record.name.clone(),
            incarnation: Incarnation::from(record.incarnation.as_str()),
            health: record.health,
            leaving: record.leaving,
            region: record.region.clone(),
            zone: record.zone.clone(),
            mesh: record.mesh.parse().context("mesh address of a member")?,
            callers: record.callers.parse().context("callers' address of a member")?,
            release_version: record.release_version,
        })
    }
}
