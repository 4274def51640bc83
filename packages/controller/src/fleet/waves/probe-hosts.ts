/**
Requests the observations that decisions need: probes of hosts that have not served since their last sign of loss, and the gates' reports on draining hosts.
*/
import {gateQueryIntervalMs, probeIntervalMs} from '../constants.js';
import {type Decision} from '../decision.js';
import {hasServedSinceLoss} from '../observations.js';

/** Probes hosts that are listed as live but have not served since their last sign of loss. */
export const probeUnconfirmedHosts = (decision: Decision): void => {
	for (const [name, host] of decision.state.settings.hosts) {
		const observation = decision.state.observations.get(name);
		if (observation?.listed !== 'live' || hasServedSinceLoss(observation)) {
			continue;
		}

		// A failed probe sets `lostAtMs`, so the interval separates two probes.
		const isProbeDue = observation.lostAtMs === undefined || decision.nowMs - observation.lostAtMs >= probeIntervalMs;
		if (isProbeDue) {
			decision.call({
				type: 'probeHost', call: `probe:${name}`, host: name, address: host.address,
			});
		}
	}
};

/** Hosts whose drain the gates have to confirm. A host that is about to be rebooted is confirmed once more, in its maintenance state. */
const drainingHosts = (decision: Decision): readonly string[] => {
	const ofWaves = [...decision.waves.values()]
		.flatMap(({progress}) => Object.entries(progress.hosts))
		.filter(([, {step}]) => step === 'draining' || step === 'rebooting')
		.map(([host]) => host);
	return [...ofWaves, ...decision.moveDrains.keys()];
};

/** Queries the gates about all draining hosts. */
export const queryGates = (decision: Decision): void => {
	const hosts = drainingHosts(decision);
	const {listedAtMs} = decision.state.gates;
	if (hosts.length > 0 && decision.nowMs - listedAtMs >= gateQueryIntervalMs) {
		decision.call({
			type: 'queryGates', call: 'gates', hosts, revision: decision.state.settings.revision,
		});
	}
};
