"""Help texts of the metrics."""

from __future__ import annotations

from collections.abc import Mapping

METRIC_HELP: Mapping[str, str] = {
    'batch_groups': 'Groups of items that are not complete, by outlook.',
    'batch_results': 'Results of items that stand in the store.',
    'batch_texts_saved': 'Saves of the texts of long items, by success.',
    'batches_owned': 'Batches that this daemon runs.',
    'carried_events': 'Events of ended batches that later batches use.',
    'evacuated_data_centres': 'Data centres that get no new work.',
    'items_held': 'Items that wait for a fast upstream while another is free.',
    'items_running': 'Items of batches that upstreams work on for this daemon.',
    'items_unscored': 'Items whose text is whole and has no score yet.',
    'items_waiting': 'Items of batches that wait for a slot here.',
    'item_attempts_failed': 'Attempts of items without a result, by reason.',
    'lease_state': 'Whether a lease is held here, elsewhere or by nobody.',
    'lease_token': 'Fencing token of a lease when it was last read.',
    'load_orders': 'Orders to load weights, by what the upstream said.',
    'log_lines_dropped': 'Log lines lost because their reader was slow.',
    'log_lines_left_out': 'Log lines above the limit of their event.',
    'manifest_version': 'Version of the routing manifest in force.',
    'part_faults': 'Faults of background parts, which were started again.',
    'peer_bytes_received': 'Bytes received from other daemons, by topic.',
    'peer_bytes_sent': 'Bytes sent to other daemons, by topic.',
    'peer_connections_lost': 'Connections to other daemons that closed.',
    'peer_messages_dropped': 'Messages of others dropped, by reason.',
    'peer_messages_lost': 'Messages to others that could not be sent.',
    'peer_messages_received': 'Messages from other daemons, by topic.',
    'peer_messages_sent': 'Messages to other daemons, by topic.',
    'peer_sockets': 'Open sockets to other daemons.',
    'refusals': 'Requests refused, by code.',
    'request': 'Time that callers waited, by kind of request.',
    'request_wait': 'Time from arrival until an attempt was sent, by service.',
    'requests_rejected': 'Waiting requests rejected, by service and reason.',
    'requests_sent': 'Attempts sent, by service and large client accounts.',
    'requests_waiting': 'Requests that wait for a slot, by service.',
    'requests_quarantined': 'Requests that no upstream runs for now.',
    'rows_rejected': 'Rows that a listener of their table failed on.',
    'rows_relayed': 'Rows taken from other daemons while the store was away.',
    'scoring_call': 'Time that scoring calls took, by how they ended.',
    'scoring_calls_failed': 'Scoring calls without a score, by reason.',
    'slot_shortages': 'Services without enough slots for the open steps.',
    'slot_allowances_lapsed': 'Grants that expired here while requests waited.',
    'slot_fallback_starts': 'Requests sent without an answer from an owner.',
    'slot_fallbacks': 'Upstreams whose slots no owner grants to this daemon.',
    'slot_grants': 'Grants of slots to daemons, by their owner here.',
    'slot_groups_owned': 'Groups of slots owned here for which daemons ask.',
    'slot_overfills': 'Requests that upstreams refused since they were full.',
    'slots_contended': 'Upstreams whose slots this daemon has to ask for.',
    'slots_not_granted': 'Slots in use that their owner here did not grant.',
    'store_call': 'Time that calls to the store took, by call.',
    'store_calls': 'Calls to the store, by call and outcome.',
    'store_feed_faults': 'Times that a table could not be followed.',
    'store_silence_seconds': 'Age of what is known of a table, in seconds.',
    'store_calls_relayed': 'Calls to the store by way of another daemon.',
    'texts_carried': 'Texts of ended batches that later ones use, by extent.',
    'texts_not_carried': 'Texts of ended batches dropped unused, by reason.',
    'upstream_ends': 'Requests under which their upstream ended.',
    'upstream_response_time': 'Time to a response, of a median upstream.',
    'upstream_slots_counted': 'Slots of upstreams in use, as counted here.',
    'upstream_slots_lost': 'Slots counted for seconds without a request.',
    'upstream_slots_unused': 'Slots counted without an open request now.',
    'upstream_slowdown': 'Momentary slowdown of upstreams, usual is 1.',
    'upstream_token_latency': 'Lasting time between two events of a stream.',
    'upstream_failures': 'Failed attempts that made upstreams rest.',
    'usage_rows_missing': 'Rows of daemons that usage reports lack.',
    'scaling_orders': 'Orders for upstreams, by what the platform said.',
    'slots_required': 'Slots that run all unfinished items in time.',
    'usage_reports': 'Reports of usage sent, by whether they were taken.',
}


def find_help(name: str) -> str:
    """Return the help text of a metric.

    :returns: the metric's name if it has no help text.
    """
    return METRIC_HELP.get(name, name)
