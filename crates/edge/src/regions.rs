//! Region constraints: where a call may be served and its turn retained.

use slog::warn;
use sumacdrift_calls::CallMetadata;
use sumacdrift_ledger::Group;
use sumacdrift_routing::SelectedRoute;
use sumacdrift_types::{AllowedRegions, ResultCode};

use crate::access::Caller;
use crate::edge::Edge;
use crate::wire_format::WireFormat;

impl<D: WireFormat> Edge<D> {
    /// The regions that both the route and the tenant allow. On an error the call has not run.
    pub(crate) fn allowed_regions(
        &self,
        head: &CallMetadata,
        caller: &Caller,
        selected: &SelectedRoute,
    ) -> Result<AllowedRegions, ResultCode> {
        let route = &selected.route;
        let regions = match &caller.tenant {
            Some(tenant) => route.regions.and(&tenant.regions),
            None => route.regions.clone(),
        };
        let denied = if regions.is_empty() {
            Some(ResultCode::NoCommonRegion)
        } else if !self.can_retain(head, caller, selected, &regions) {
            Some(ResultCode::NotKeptInRegion)
        } else {
            None
        };
        let Some(code) = denied else { return Ok(regions) };
        let tenant = caller.tenant.as_ref();
        warn!(self.logger, "call can't be served in an allowed region"; "event" => "region_refused",
            "call" => &head.id, "code" => code.number(), "route" => &*route.name, "version" => selected.version,
            "tenant" => tenant.map(|tenant| &*tenant.name), "route_regions" => %route.regions,
            "tenant_regions" => tenant.map(|tenant| tenant.regions.to_string()));
        Err(code)
    }

    /// Whether the turn, if it is retained, stays within the allowed regions and the edge's own: no member of its
    /// program's ledger group is elsewhere.
    fn can_retain(
        &self,
        head: &CallMetadata,
        caller: &Caller,
        selected: &SelectedRoute,
        regions: &AllowedRegions,
    ) -> bool {
        let Some(program) = head.program.as_ref().filter(|_| selected.route.is_retained) else { return true };
        if regions.is_unrestricted() {
            return true;
        }
        let name = caller.name_in_ledger(&program.program);
        let map = self.ledger.map();
        map.group_of(&name).is_some_and(|group| self.is_within(group, regions))
    }

    fn is_within(&self, group: &Group, regions: &AllowedRegions) -> bool {
        let location = &self.settings.location;
        let own = location.topology.region_of(&location.zone);
        group.members.iter().all(|member| {
            let region = location.topology.region_of(&member.zone);
            regions.allow(region) || (region.is_some() && region == own)
        })
    }
}
