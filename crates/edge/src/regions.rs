//! Calls that are bound to regions: where they may be served and kept.

use slog::warn;
use sumacdrift_calls::CallHead;
use sumacdrift_ledger::Group;
use sumacdrift_routing::Selected;
use sumacdrift_types::{AllowedRegions, ResultCode};

use crate::access::Caller;
use crate::dialect::Dialect;
use crate::edge::Edge;

impl<D: Dialect> Edge<D> {
    /// Regions in which a call may be served: those that its route and its tenant both allow. Where that can't be, the code
    /// that says why; the call has not run then.
    pub(crate) fn regions_of(
        &self,
        head: &CallHead,
        caller: &Caller,
        selected: &Selected,
    ) -> Result<AllowedRegions, ResultCode> {
        let route = &selected.route;
        let regions = match &caller.tenant {
            Some(tenant) => route.regions.and(&tenant.regions),
            None => route.regions.clone(),
        };
        let refused = if regions.is_empty() {
            Some(ResultCode::NoCommonRegion)
        } else if !self.may_keep(head, caller, selected, &regions) {
            Some(ResultCode::NotKeptInRegion)
        } else {
            None
        };
        let Some(code) = refused else { return Ok(regions) };
        let tenant = caller.tenant.as_ref();
        warn!(self.logger, "a call can't be served where it may be"; "event" => "region_refused",
            "call" => &head.id, "code" => code.number(), "route" => &*route.name, "version" => selected.version,
            "tenant" => tenant.map(|tenant| &*tenant.name), "route_regions" => %route.regions,
            "tenant_regions" => tenant.map(|tenant| tenant.regions.to_string()));
        Err(code)
    }

    /// Whether what a turn says stays in its regions, and in the caller's, where it is kept: its program's ledger group
    /// has no member elsewhere.
    fn may_keep(
        &self,
        head: &CallHead,
        caller: &Caller,
        selected: &Selected,
        regions: &AllowedRegions,
    ) -> bool {
        let Some(program) = head.program.as_ref().filter(|_| selected.route.is_retained) else { return true };
        if regions.are_all() {
            return true;
        }
        let name = caller.name_in_ledger(&program.program);
        let map = self.ledger.map();
        map.group_of(&name).is_some_and(|group| self.all_stand_in(group, regions))
    }

    fn all_stand_in(&self, group: &Group, regions: &AllowedRegions) -> bool {
        let location = &self.settings.location;
        let own = location.places.region_of(&location.zone);
        group.members.iter().all(|member| {
            let region = location.places.region_of(&member.zone);
            regions.allow(region) || (region.is_some() && region == own)
        })
    }
}
