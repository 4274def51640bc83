/**
Registers this controller as a member and then contends for the fleet lease, under which one controller at a time carries out planned work.
*/
import {randomUUID} from 'node:crypto';
import {
	type Clock, type LifecycleManager, type Logger,
} from '@poplarnotch/common';
import {type TableService} from '@poplarnotch/platform';
import {LeaseContender, type Member, MemberRegistration} from '@poplarnotch/state';
import {type FleetRunner} from './fleet-runner.js';

/** Dependencies of the membership. */
export type MembershipOptions = {
	readonly identity: Omit<Member, 'incarnation'>;
	readonly table: TableService;
	readonly runner: FleetRunner;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly lifecycle: LifecycleManager;
	/** Called when another instance registers under this process id; this one must then stop. */
	readonly onReplaced: () => void;
};

/** Name of the lease of the controller that runs waves and moves. */
const fleetLeaseName = 'fleet';

/** Time limit for releasing the lease and the registration. In an outage both expire instead. */
const leaveTimeoutMs = 2000;

const contendForLease = (options: MembershipOptions, member: Member): void => {
	const {table, clock, logger, runner, lifecycle} = options;
	const contender = new LeaseContender({
		table, clock, log: logger, holder: `${member.processId}@${member.incarnation}`,
	});
	lifecycle.own('leases', async () => contender.withdrawAll(), leaveTimeoutMs);
	contender.contend(fleetLeaseName, lease => {
		if (lease === undefined) {
			runner.loseLease();
		} else {
			void runner.takeLease(lease);
		}
	});
};

/** Registers this controller, retrying until it succeeds, and then contends for the lease. */
export const registerController = (options: MembershipOptions): void => {
	const {table, clock, logger, identity, lifecycle} = options;
	const registration = new MemberRegistration({
		table, clock, log: logger, identity: {...identity, runId: randomUUID()},
	});
	lifecycle.own('registration', async () => registration.leave(), leaveTimeoutMs);
	registration.onReplaced(options.onReplaced);
	void registration.register().then(member => {
		contendForLease(options, member);
	});
};
