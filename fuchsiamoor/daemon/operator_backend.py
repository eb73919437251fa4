"""Backend of the operators' API: status, key explanation, reports, configuration."""

from typing import NamedTuple

from fuchsiamoor.core import addresses, keys, members, settings, tables
from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.daemon import state_sync
from fuchsiamoor.documents import apply
from fuchsiamoor.ownership import lease_holder as holders
from fuchsiamoor.reports import counts, override_status
from fuchsiamoor.reports import status as statuses


def is_ready(node: nodes.Node) -> bool:
    """Return whether this daemon is ready for callers' requests."""
    return (
        node.cluster_state.configuration.revision > 0
        and not node.draining_callers
        and node.member.registered_version > 0
    )


class NodeView(NamedTuple):
    """Implements `operator_app.OperatorView` for a node."""

    node: nodes.Node

    def status(self) -> statuses.Status:
        """Return the daemon's state."""
        return make_status(self.node)

    def configuration(self) -> configurations.Configuration:
        """Return the configuration in force."""
        return self.node.cluster_state.configuration

    def explain(
        self, service: str, tenant: str, key: str
    ) -> statuses.Explanation | None:
        """Return where a key is served; None if service or tenant is unknown."""
        return explain_key(self.node, keys.KeyId(service, tenant, key))

    def report(self) -> counts.CountsSnapshot:
        """Return the counts for the reports."""
        config = self.node.settings
        return self.node.metrics.snapshot(
            config.instance, config.service, config.data_centre
        )


def make_apply_document(node: nodes.Node):
    """Return a function that applies a configuration document through the store."""

    async def apply_document(
        based_on: int, apply_id: str, document: object
    ) -> apply.ApplyResult:
        result = await apply.apply_document(
            node.store,
            based_on,
            apply_id,
            document,
            in_force_revision=node.cluster_state.configuration.revision,
        )
        if isinstance(result, apply.Applied):
            await state_sync.read_configuration(node)
        return result

    return apply_document


def make_status(node: nodes.Node) -> statuses.Status:
    """Return the status of a node."""
    configuration = node.cluster_state.configuration
    directory = node.cluster_state.directory
    return statuses.Status(
        instance=node.settings.instance,
        member_id=node.member.member_id,
        service=node.settings.service,
        region=node.settings.region,
        data_centre=node.settings.data_centre,
        configuration_revision=configuration.revision,
        apply_id=configuration.apply_id,
        ready=is_ready(node),
        leaving=node.leaving or node.upstream.leaving,
        store_reachable=node.store.is_reachable,
        upstream=_make_upstream_status(node),
        domains=tuple(
            _make_domain_status(node, domain)
            for domain in sorted(node.cluster_state.tables)
        ),
        members=tuple(
            _make_member_status(member)
            for _, member in sorted(directory.by_instance.items())
        ),
        data_centres_out=tuple(sorted(configuration.data_centres_out)),
        overrides=override_status.evaluate_overrides(
            configuration,
            node.cluster_state.tables,
            lambda member_id: nodes.find_member(node, member_id),
        ),
    )


def _make_upstream_status(node: nodes.Node) -> statuses.UpstreamStatus:
    load = nodes.make_load(node, "")
    return statuses.UpstreamStatus(
        node.upstream.incarnation, load.upstream_ready, load.limit, load.in_flight
    )


def _make_member_status(member: members.Member) -> statuses.MemberStatus:
    return statuses.MemberStatus(
        member.member_id,
        member.instance,
        member.service,
        member.data_centre,
        addresses.format_address(member.operator_address),
    )


def _make_domain_status(node: nodes.Node, domain: str) -> statuses.DomainStatus:
    table = node.cluster_state.tables[domain]
    by_instance: dict[str, int] = {}
    for owner in table.owners:
        if owner != tables.NO_OWNER:
            instance = members.instance_of(owner)
            by_instance[instance] = by_instance.get(instance, 0) + 1
    return statuses.DomainStatus(
        domain=domain,
        term=table.term,
        coordinator=table.coordinator,
        table_revision=table.revision,
        lease=_find_lease_state(node, domain),
        owned_shards=by_instance.get(node.settings.instance, 0),
        pending_shards=len(table.pending),
        unowned_shards=table.owners.count(tables.NO_OWNER),
        shards_by_instance=dict(sorted(by_instance.items())),
    )


def _find_lease_state(node: nodes.Node, domain: str) -> statuses.LeaseState:
    holder = node.holders.get(domain)
    if holder is None or holders.lease_until_ms(holder) == holders.NO_LEASE_MS:
        return statuses.LeaseState.NONE
    now_ms = node.now_ms()
    if now_ms >= holders.lease_until_ms(holder):
        return statuses.LeaseState.LAPSED
    if now_ms < _compute_renewed_until_ms(holder, node.settings.timing):
        return statuses.LeaseState.RENEWED
    return statuses.LeaseState.VOUCHED


def _compute_renewed_until_ms(
    holder: holders.LeaseHolder, timing: settings.Timing
) -> int:
    if holder.renewed_sent_ms is None:
        return holders.NO_LEASE_MS
    return holder.renewed_sent_ms + timing.lease_ms


def explain_key(node: nodes.Node, key_id: keys.KeyId) -> statuses.Explanation | None:
    """Return where a key is served and why; None if service or tenant is unknown."""
    configuration = node.cluster_state.configuration
    domain = configurations.find_domain(configuration, key_id.service, key_id.tenant)
    if domain is None:
        return None
    table = nodes.find_table(node, domain)
    if table is None:
        service = configuration.services[key_id.service]
        table = tables.make_empty_table(domain, service.shard_count)
    key_hash = keys.hash_key(key_id)
    shard = tables.find_shard(table, key_hash)
    owner_id = table.owners[shard]
    owner = nodes.find_member(node, owner_id)
    is_own_shard = owner_id == node.member.member_id
    return statuses.Explanation(
        service=key_id.service,
        tenant=key_id.tenant,
        key=key_id.key,
        domain=domain,
        shard=shard,
        isolated=key_hash in table.isolated,
        owner=owner_id,
        data_centre=owner.data_centre if owner is not None else "",
        state=str(tables.shard_state(table, shard)),
        epoch=table.epochs[shard],
        table_revision=table.revision,
        coordinator=table.coordinator,
        lease=_find_lease_state(node, domain) if is_own_shard else None,
        override=override_status.evaluate_override_for_key(
            configuration,
            key_id,
            node.cluster_state.tables,
            lambda member_id: nodes.find_member(node, member_id),
        ),
        loss_wait_ms=_compute_loss_wait_ms(node, key_id.service, owner),
        candidates=tuple(
            sorted(
                member.instance
                for member in nodes.list_candidates(node, domain)
                if member.member_id != owner_id
            )
        ),
    )


def _compute_loss_wait_ms(
    node: nodes.Node, service: str, owner: members.Member | None
) -> int:
    timing = node.settings.timing
    if owner is not None and owner.checks_grants:
        return timing.lease_ms
    services = node.cluster_state.configuration.services
    return timing.lease_ms + services[service].longest_run_ms
