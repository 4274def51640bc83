/**
Troubles: each kind disturbs daemons, the store or workers for a while. They are drawn from a seed and overlap.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {type RandomSource, SeededRandom} from '@poplarnotch/common';
import {type Daemon} from './daemons.js';
import {type Deployment} from './deployment.js';
import {drawBetween, drawOne} from './draws.js';
import {type Departure} from './machines.js';
import {bounds, queues, zones} from './settings.js';
import {type Refusal} from './store.js';
import {type Worker} from './worker.js';

/** A trouble, with what it disturbs; the store concerns all daemons. Times are those of the steady clock. */
export type Trouble = {
	readonly kind: string;
	readonly fromMs: number;
	/** When all that it disturbed was back, or infinity. */
	toMs: number;
	readonly daemons: ReadonlySet<string> | 'all';
	readonly workers: ReadonlySet<string> | 'all';
	/** Whether no rule takes it for a disruption. */
	readonly isRoutine: boolean;
};

/** What begins is undone by `end`. */
type Begun = {
	readonly daemons?: readonly Daemon[] | 'all';
	readonly workers?: readonly Worker[] | 'all';
	readonly isRoutine?: boolean;
	readonly end: () => void | Promise<void>;
};

type Field = {
	readonly deployment: Deployment;
	readonly holder: Daemon;
	readonly random: RandomSource;
};

/** Returns `undefined` if there is no holder to disturb any more. */
type Begin = (field: Field) => Begun | undefined | Promise<Begun | undefined>;

const maxSeed = 2 ** 31;
const minPauseMs = 500;
const maxPauseMs = 4000;
const minDurationMs = 800;
const maxDurationMs = 5000;

/** Durations of the kinds that have ones of their own. */
const minDurationsMs: Readonly<Record<string, number>> = {killall: 600, workerslong: 4000, workercutlong: 4000};
const maxDurationsMs: Readonly<Record<string, number>> = {
	lapse: 12_000, killall: 1600, workerslong: 14_000, workercutlong: 14_000,
};

/** Processes that are stopped together with the holder: those that would follow it. */
const successors = 3;
const disturbedWorkersShare = 0.15;
const slowStoreMs = 240;
const lateStoreShare = 0.35;
const minVeryLateMs = 1000;
const maxVeryLateMs = 6000;
const limitedRatesFactor = 0.05;
const maxLateStartMs = 1500;
const minLateCallMs = 500;
const maxLateCallMs = 9000;
const minUnansweredMs = 100;
const maxUnansweredMs = 600;
const minDownMs = 400;
const maxDownMs = 1000;
const maxCutAfterMs = 2000;
const lapsedWorkersShare = 0.3;
const minBusyProcesses = 8;
const maxBusyProcesses = 24;

/** Time for which the end of a job is waited for, and time after it within which the holder is lost. */
const maxJobWaitMs = 2000;
const maxAfterJobMs = 60;

/** Number of holders in succession that are ended, time that the next one has to reach a worker, and time from then until it is ended. */
const minHandovers = 3;
const maxHandovers = 8;
const maxTakeoverMs = 4000;
const maxTermMs = 1500;
const holderPollMs = 10;

/** Notice of a worker that leaves soon, and of others; time before it leaves at which what it runs ends. */
const shortNoticeMs = 2000;
const minNoticeMs = 2500;
const maxNoticeMs = 5000;
const minEndLeadMs = 110;
const maxEndLeadMs = 400;
const maxEndSpreadMs = 40;
const maxAfterListingMs = 60;
const minAwayMs = bounds.addr_reuse_s * 1000;
const maxAwayMs = minAwayMs + 1500;

/** Time from one daemon's SIGTERM to that of the next, and the longest time from the return of one large daemon to that of another. */
const minTurnMs = 800;
const maxTurnMs = 2000;
const maxReturnSpreadMs = 1500;

/** Number of holders that are ended one shortly after the other, and the time within which that happens. */
const minQuickTerms = 3;
const maxQuickTerms = 5;
const minQuickSeriesMs = 600;
const maxQuickSeriesMs = 2100;

/** Cuts of a zone, which are shorter than the leases of its workers, and the pauses between them. */
const minZoneCuts = 2;
const maxZoneCuts = 3;
const minZoneCutMs = 500;
const maxZoneCutMs = 1200;
const minZonePauseMs = 300;
const maxZonePauseMs = 1500;

/** Pauses of single daemons, and the time from the begin of one to that of the next. */
const minStandstillMs = 20;
const maxStandstillMs = 3000;
const maxBetweenStandstillsMs = 400;
const holderStandstillShare = 0.5;

/** Number of holders in succession that lose the lease, and the pause of one that is to be suspected. */
const minPasses = 2;
const maxPasses = 4;
const minSuspicionMs = 800;
const maxSuspicionMs = 1500;

/** Pause of a holder among its starts, and share of the workers that crash and start again within it. */
const minAmongStartsMs = 800;
const maxAmongStartsMs = 2500;
const rebornShare = 0.4;

/** Longest time from a worker's crash to the moment at which the holder goes on, and time for which the worker is down. */
const maxBeforeResumptionMs = 400;
const minRebornMs = 200;
const maxRebornMs = 900;

/** Notice of a zone's workers that leave together, and share of them that leave where some stay. */
const minZoneNoticeMs = 1000;
const maxZoneNoticeMs = 2500;
const leavingZoneShare = 0.8;

/** Time for which workers are down that nobody sees start again, time for which their answers are then lost, and time for which they are out of reach after that: longer than a lease, and shorter than the longest one. */
const minUnseenDownMs = 5;
const maxUnseenDownMs = 25;
const minLostAnswersMs = 300;
const maxLostAnswersMs = 800;
const minUnseenCutMs = 8500;
const maxUnseenCutMs = 9600;

/** Share of a zone's workers that start again before a long cut, time for which they are down, longest time from their return to the cut, and its length, longer than a lease. */
const restartedShare = 0.5;
const minBeforeCutDownMs = 150;
const maxBeforeCutDownMs = 650;
const maxUntilCutMs = 700;
const minLongCutMs = 6000;
const maxLongCutMs = 12_000;

/** Applies a change at once and takes it back at the end. */
const change = (apply: (isOn: boolean) => void, scope: Omit<Begun, 'end'>): Begun => {
	apply(true);
	return {
		...scope, end() {
			apply(false);
		},
	};
};

/** What has begun ends by itself. */
const waitFor = (work: Promise<unknown>, scope: Omit<Begun, 'end'>): Begun => ({
	...scope, async end() {
		await work;
	},
});

const pause = (daemons: readonly Daemon[]): Begun => {
	const paused = daemons.map(daemon => {
		daemon.isDisturbed = true;
		return {daemon, resume: daemon.pause()};
	});
	return {
		daemons, end() {
			for (const {daemon, resume} of paused) {
				daemon.isDisturbed = false;
				resume();
			}
		},
	};
};

/** The process has been told to end; it is started again later. */
const restart = (daemon: Daemon, ended: Promise<void>): Begun => {
	daemon.isDisturbed = true;
	return {
		daemons: [daemon],
		async end() {
			await ended;
			await daemon.startAgain();
			daemon.isDisturbed = false;
		},
	};
};

const kill = (daemon: Daemon): Begun => {
	daemon.signal('SIGKILL');
	return restart(daemon, Promise.resolve());
};

const refuse = ({store: {refusals}}: Deployment, refusal: Refusal, disturbed: readonly Daemon[], daemons: Begun['daemons'] = disturbed): Begun => change(isOn => {
	for (const {name} of disturbed) {
		if (isOn) {
			refusals.set(name, refusal);
		} else {
			refusals.delete(name);
		}
	}
}, {daemons});

const pickWorkers = ({deployment, random}: Field, share = disturbedWorkersShare): readonly Worker[] => deployment.machines.workers.filter(() => random.next() < share);

const changeWorkers = (workers: readonly Worker[], apply: (worker: Worker, isOn: boolean) => void, daemons: readonly Daemon[] = []): Begun => change(isOn => {
	for (const worker of workers) {
		apply(worker, isOn);
	}
}, {workers, daemons});

/** The ways in which the holder is lost at the end of a job: killed, stopped, cut off from the store, or from the answers of all workers. */
const losses: ReadonlyArray<(deployment: Deployment, holder: Daemon) => Begun> = [
	(_deployment, holder) => kill(holder),
	(_deployment, holder) => pause([holder]),
	(deployment, holder) => refuse(deployment, 'silent', [holder]),
	({machines: {workers}, lastFenceOfHolder: fence}, holder) => changeWorkers(workers, (worker, isOn) => {
		worker.muteUpToFence = isOn ? fence : 0;
	}, [holder]),
];

const workersOfZone = ({deployment, random}: Field): readonly Worker[] => {
	const zone = drawOne(random, zones);
	return deployment.machines.workers.filter(worker => worker.zone === zone);
};

/** Some workers are silent. */
const silenceSome: Begin = field => changeWorkers(pickWorkers(field), (worker, isOn) => {
	worker.isSilent = isOn;
});

/** The holder is cut off from the workers of one zone, in one direction or both; a later holder is not. */
const cutHolderOff: Begin = field => {
	const {deployment: {lastFenceOfHolder: fence}, holder, random} = field;
	const workers = workersOfZone(field);
	const direction = random.next() < 0.5 ? 'muteUpToFence' : 'deafUpToFence';
	return changeWorkers(workers, (worker, isOn) => {
		worker[direction] = isOn ? fence : 0;
	}, [holder]);
};

const mayCrash = ({isUp, isDraining, isUnderLateCalls, hasLateCalls}: Worker): boolean => isUp && !isDraining && !isUnderLateCalls && !hasLateCalls;

/** Leaves starts, and perhaps stops and polls, unanswered until the worker crashes; half of the time, cuts the worker off soon after its return. Resolves once all calls are carried out. */
const crashUnderCalls = async (worker: Worker, random: RandomSource): Promise<void> => {
	const paths = ['/run-start', ...['/run-stop', '/hold'].filter(() => random.next() < 0.5)];
	const lateMs = drawBetween(random, minLateCallMs, maxLateCallMs);
	const unansweredMs = drawBetween(random, minUnansweredMs, maxUnansweredMs);
	const downMs = drawBetween(random, minDownMs, maxDownMs);
	const isCutOff = random.next() < 0.5;
	const cutAfterMs = drawBetween(random, 0, maxCutAfterMs);
	const setLateMs = (ms: number): void => {
		for (const path of paths) {
			worker.lateMsByPath.set(path, ms);
		}
	};

	worker.isUnderLateCalls = true;
	setLateMs(lateMs);
	await sleep(unansweredMs);
	setLateMs(0);
	const carriedOut = sleep(lateMs);
	// Its machine may have been ordered away.
	if (worker.isUp) {
		await worker.restart(downMs);
	}

	if (isCutOff) {
		await sleep(cutAfterMs);
		worker.isSilent = true;
		await sleep(bounds.hold_max_ms);
		worker.isSilent = false;
	}

	await carriedOut;
	worker.isUnderLateCalls = false;
};

const terminateAndRestart = async (daemon: Daemon): Promise<void> => {
	await restart(daemon, daemon.terminate()).end();
};

/** Resolves to the holder once it is another one than those that are being ended and the former one, or to `undefined` after a while. */
const waitForHolder = async (deployment: Deployment, former?: Daemon): Promise<Daemon | undefined> => {
	const untilMs = performance.now() + maxTakeoverMs;
	while (performance.now() < untilMs) {
		const {holder} = deployment;
		if (holder !== undefined && holder !== former && !holder.isDisturbed) {
			return holder;
		}

		await sleep(holderPollMs);
	}

	return undefined;
};

/** Ends holders in succession by SIGTERM, each soon after it has reached a worker, half of them just after the last task of a job has ended. Resolves once all of them are back. */
const endHolders = async ({deployment, random}: Field): Promise<void> => {
	const restarts: Array<Promise<void>> = [];
	for (let left = drawBetween(random, minHandovers, maxHandovers); left > 0; left--) {
		const termMs = random.next() * maxTermMs;
		const waitsForJob = random.next() < 0.5;
		const afterJobMs = random.next() * maxAfterJobMs;
		const holder = await waitForHolder(deployment);
		await sleep(termMs);
		if (waitsForJob) {
			await deployment.ledger.jobEnds.wait(maxJobWaitMs);
			await sleep(afterJobMs);
		}

		if (holder !== undefined && !holder.isDisturbed) {
			restarts.push(terminateAndRestart(holder));
		}
	}

	await Promise.all(restarts);
};

/** Ends the holder just after one of the workers has told it of ends that are not acknowledged. Resolves once it is back. */
const endHolderAfterListing = async ({deployment, random}: Field, workers: readonly Worker[], untilMs: number): Promise<void> => {
	const afterListingMs = random.next() * maxAfterListingMs;
	while (performance.now() < untilMs && workers.every(({listedEnds}) => listedEnds.length === 0)) {
		await deployment.ledger.listings.wait(untilMs - performance.now());
	}

	await sleep(afterListingMs);
	const {holder} = deployment;
	if (holder !== undefined && !holder.isDisturbed) {
		await terminateAndRestart(holder);
	}
};

/** How a group of workers leaves; each ends what it runs a little earlier than `endLeadMs` before that. */
type GroupDeparture = Pick<Departure, 'noticeMs' | 'keepsAddress'> & {readonly endLeadMs: number};

const departTogether = ({deployment, random}: Field, workers: readonly Worker[], {noticeMs, endLeadMs, keepsAddress}: GroupDeparture): ReadonlyArray<Promise<void>> => workers.map(async worker => {
	const departure: Departure = {
		noticeMs, endsInMs: noticeMs - endLeadMs - drawBetween(random, 0, maxEndSpreadMs), awayMs: drawBetween(random, minAwayMs, maxAwayMs), keepsAddress,
	};
	return deployment.machines.replace(worker, departure);
});

/** Ends the holder once the first of the leaving workers has listed its ends. */
const endHolderAtDeparture = async (field: Field, workers: readonly Worker[], {noticeMs, endLeadMs}: GroupDeparture): Promise<void> => {
	await sleep(noticeMs - endLeadMs - maxEndSpreadMs);
	await endHolderAfterListing(field, workers, performance.now() + endLeadMs);
};

/** Some workers drain and leave with ends that were listed just before, and others follow; half of the time the holder is ended between the two. */
const replaceWorkers = (field: Field, keepsAddress: boolean): Begun => {
	const {random} = field;
	const noticeMs = random.next() < 0.5 ? shortNoticeMs : drawBetween(random, minNoticeMs, maxNoticeMs);
	const departure: GroupDeparture = {noticeMs, endLeadMs: drawBetween(random, minEndLeadMs, maxEndLeadMs), keepsAddress};
	const hasHandover = random.next() < 0.5;
	const workers = pickWorkers(field).filter(worker => mayCrash(worker));
	const work = [...departTogether(field, workers, departure)];
	if (hasHandover) {
		work.push(endHolderAtDeparture(field, workers, departure));
	}

	return waitFor(Promise.all(work), {workers, daemons: hasHandover ? 'all' : []});
};

/** Ends half of the daemons that do not hold the lease. Resolves once they are back. */
const refreshOthers = async ({deployment, random}: Field): Promise<void> => {
	const others = deployment.daemons.filter(daemon => daemon !== deployment.holder && !daemon.isDisturbed && random.next() < 0.5);
	await Promise.all(others.map(async daemon => terminateAndRestart(daemon)));
};

/** Ends holders one shortly after the other, each once it has reached a worker. Resolves once all of them are back. */
const endHoldersQuickly = async ({deployment, random}: Field): Promise<void> => {
	const terms = drawBetween(random, minQuickTerms, maxQuickTerms);
	const termMs = drawBetween(random, minQuickSeriesMs, maxQuickSeriesMs) / terms;
	const restarts: Array<Promise<void>> = [];
	for (let left = terms; left > 0; left--) {
		const holder = await waitForHolder(deployment);
		if (holder !== undefined) {
			restarts.push(terminateAndRestart(holder));
		}

		await sleep(termMs);
	}

	await Promise.all(restarts);
};

/** Cuts the workers of a zone off from all daemons several times; half of the time a holder is ended within each cut. */
const cutZone = async ({deployment, random}: Field, workers: readonly Worker[]): Promise<void> => {
	const hasHandovers = random.next() < 0.5;
	const restarts: Array<Promise<void>> = [];
	for (let left = drawBetween(random, minZoneCuts, maxZoneCuts); left > 0; left--) {
		const cutMs = drawBetween(random, minZoneCutMs, maxZoneCutMs);
		const pauseMs = drawBetween(random, minZonePauseMs, maxZonePauseMs);
		const untilTermMs = random.next() * cutMs;
		for (const worker of workers) {
			worker.isSilent = true;
		}

		await sleep(untilTermMs);
		const {holder} = deployment;
		if (hasHandovers && holder?.isDisturbed === false) {
			restarts.push(terminateAndRestart(holder));
		}

		await sleep(cutMs - untilTermMs);
		for (const worker of workers) {
			worker.isSilent = false;
		}

		await sleep(pauseMs);
	}

	await Promise.all(restarts);
};

/** Workers are out of reach of all daemons, and perhaps of the store, for a while, and then register themselves. */
const cutOff = async ({deployment: {record}}: Field, workers: readonly Worker[], {cutMs, reachesStore}: {readonly cutMs: number; readonly reachesStore: boolean}): Promise<void> => {
	record.add(`out of reach for ${cutMs} ms, ${reachesStore ? '' : 'and of the store, '}${workers.length} workers: ${workers.map(({id}) => id).join(' ')}`);
	for (const worker of workers) {
		worker.isSilent = true;
		worker.isCutFromStore = !reachesStore;
	}

	await sleep(cutMs);
	for (const worker of workers) {
		worker.isSilent = false;
		worker.isCutFromStore = false;
		worker.register();
	}
};

/** Workers start again and do not register themselves; for a while, orders reach them and their answers are lost, so that nobody sees it. */
const startUnseen = async ({random}: Field, workers: readonly Worker[]): Promise<void> => {
	const lostAnswersMs = drawBetween(random, minLostAnswersMs, maxLostAnswersMs);
	await Promise.all(workers.map(async worker => {
		worker.isCutFromStore = true;
		worker.muteUpToFence = Number.MAX_SAFE_INTEGER;
		await worker.restart(drawBetween(random, minUnseenDownMs, maxUnseenDownMs));
	}));
	await sleep(lostAnswersMs);
	for (const worker of workers) {
		worker.muteUpToFence = 0;
	}
};

/** Workers that nobody has seen start again are out of reach; perhaps the holder is killed as that begins. */
const returnUnseen = async (field: Field, workers: readonly Worker[], isHolderKilled: boolean): Promise<void> => {
	const {holder, random} = field;
	const cutMs = drawBetween(random, minUnseenCutMs, maxUnseenCutMs);
	await startUnseen(field, workers);
	const cut = cutOff(field, workers, {cutMs, reachesStore: false});
	const loss = isHolderKilled && !holder.isDisturbed ? kill(holder) : undefined;
	await cut;
	await loss?.end();
};

/** Some workers of a zone start again, and all of them are then out of reach; half of the time they reach the store. */
const cutLong = async (field: Field, workers: readonly Worker[]): Promise<void> => {
	const {random} = field;
	const cutMs = drawBetween(random, minLongCutMs, maxLongCutMs);
	const reachesStore = random.next() < 0.5;
	const untilCutMs = random.next() * maxUntilCutMs;
	const restarted = workers.filter(worker => random.next() < restartedShare && mayCrash(worker));
	await Promise.all(restarted.map(async worker => worker.restart(drawBetween(random, minBeforeCutDownMs, maxBeforeCutDownMs))));
	await sleep(untilCutMs);
	await cutOff(field, workers, {cutMs, reachesStore});
};

/** All or most workers of one zone and service leave together, while the holder is ended, or several in succession. */
const emptyZone = (field: Field): Begun => {
	const {deployment, random} = field;
	const zone = drawOne(random, zones);
	const service = drawOne(random, queues).name;
	const leavingShare = random.next() < 0.5 ? 1 : leavingZoneShare;
	const hasSeries = random.next() < 0.5;
	const departure: GroupDeparture = {
		noticeMs: drawBetween(random, minZoneNoticeMs, maxZoneNoticeMs), endLeadMs: drawBetween(random, minEndLeadMs, maxEndLeadMs), keepsAddress: random.next() < 0.5,
	};
	const untilSeriesMs = random.next() * departure.noticeMs;
	const workers = deployment.machines.workers.filter(worker => worker.zone === zone && worker.service === service && random.next() < leavingShare);
	const leave = async (): Promise<void> => {
		const leaving = workers.filter(worker => mayCrash(worker));
		const handovers = hasSeries ? sleep(untilSeriesMs).then(async () => endHoldersQuickly(field)) : endHolderAtDeparture(field, leaving, departure);
		await Promise.all([...departTogether(field, leaving, departure), handovers]);
	};

	return waitFor(hasSeries ? refreshOthers(field).then(async () => leave()) : leave(), {workers, daemons: 'all'});
};

/** Ends all daemons in turn; each is started again. */
const endInTurn = async ({deployment, random}: Field): Promise<void> => {
	const restarts: Array<Promise<void>> = [];
	for (const daemon of deployment.daemons) {
		const turnMs = drawBetween(random, minTurnMs, maxTurnMs);
		if (!daemon.isDisturbed) {
			restarts.push(terminateAndRestart(daemon));
		}

		await sleep(turnMs);
	}

	await Promise.all(restarts);
};

/** Ends all daemons with the larger share of the processor, so that one with a smaller share holds the lease until they are back. */
const endLargeDaemons = ({deployment: {daemons}, random}: Field): Begun => {
	const largestShare = Math.max(...daemons.map(({cpuShare}) => cpuShare));
	const large = daemons.filter(({cpuShare, isDisturbed}) => cpuShare === largestShare && !isDisturbed);
	const restarts = large.map(daemon => restart(daemon, daemon.terminate()));
	return {
		daemons: 'all', async end() {
			await Promise.all(restarts.map(async ({end}) => {
				await sleep(random.next() * maxReturnSpreadMs);
				await end();
			}));
		},
	};
};

/** Kills all daemons at once, as in a loss of power: each is started again with nothing but what is stored. Those that are stopping are started again by the trouble that ended them; those that another trouble has paused stay as they are. */
const killAll = ({daemons}: Deployment): Begun => {
	for (const stopping of daemons.filter(({isStopping}) => isStopping)) {
		stopping.signal('SIGKILL');
	}

	const killed = daemons.filter(({isDisturbed}) => !isDisturbed).map(daemon => kill(daemon));
	return {
		daemons: 'all', async end() {
			await Promise.all(killed.map(async ({end}) => end()));
		},
	};
};

/** Pauses single daemons again and again, for times whose logarithm is evenly distributed, the holder more often than others. They count as undisturbed, so that other troubles come beside. */
const pauseAtRandom = ({deployment, random}: Field): Begun => {
	const pauses: Array<Promise<void>> = [];
	const over = new AbortController();
	const pauseOne = async (daemon: Daemon, pauseMs: number): Promise<void> => {
		const resume = daemon.pause();
		await sleep(pauseMs);
		resume();
	};

	const repeat = async (): Promise<void> => {
		while (!over.signal.aborted) {
			const pauseMs = minStandstillMs * ((maxStandstillMs / minStandstillMs) ** random.next());
			const other = drawOne(random, deployment.daemons);
			pauses.push(pauseOne(random.next() < holderStandstillShare ? deployment.holder ?? other : other, pauseMs));
			await sleep(random.next() * maxBetweenStandstillsMs);
		}
	};

	const repeated = repeat();
	return {
		daemons: 'all', async end() {
			over.abort();
			await repeated;
			await Promise.all(pauses);
		},
	};
};

/** Pauses the holder as soon as one of its starts was carried out, and so among the orders of a round. Some workers crash shortly before it goes on and start again shortly after, having seen no later holder. */
const pauseAmongStarts = async (field: Field): Promise<Begun | undefined> => {
	const {deployment, random} = field;
	const pauseMs = drawBetween(random, minAmongStartsMs, maxAmongStartsMs);
	await deployment.ledger.starts.wait(maxJobWaitMs);
	const {holder} = deployment;
	if (holder === undefined || holder.isDisturbed) {
		return undefined;
	}

	const {end} = pause([holder]);
	const workers = pickWorkers(field, rebornShare).filter(worker => mayCrash(worker));
	const resume = sleep(pauseMs).then(async () => end());
	const restartAround = async (worker: Worker): Promise<void> => {
		const crashMs = pauseMs - (random.next() * maxBeforeResumptionMs);
		const downMs = drawBetween(random, minRebornMs, maxRebornMs);
		await sleep(crashMs);
		if (worker.isUp) {
			await worker.restart(downMs);
		}
	};

	return waitFor(Promise.all([resume, ...workers.map(async worker => restartAround(worker))]), {workers, daemons: [holder]});
};

const pauseForSuspicion = async (daemon: Daemon, random: RandomSource): Promise<void> => {
	const {end} = pause([daemon]);
	await sleep(drawBetween(random, minSuspicionMs, maxSuspicionMs));
	await end();
};

/** Takes the lease from holders in succession, by SIGTERM and by a pause in turn; a paused one goes on as a former holder. Resolves once all of them are back. */
const passToAndFro = async ({deployment, random}: Field): Promise<void> => {
	const changes: Array<Promise<void>> = [];
	let isPlanned = random.next() < 0.5;
	let former: Daemon | undefined;
	for (let left = drawBetween(random, minPasses, maxPasses); left > 0; left--) {
		const termMs = random.next() * maxTermMs;
		const holder = await waitForHolder(deployment, former);
		await sleep(termMs);
		if (holder !== undefined && !holder.isDisturbed) {
			changes.push(isPlanned ? terminateAndRestart(holder) : pauseForSuspicion(holder, random));
			former = holder;
		}

		isPlanned = !isPlanned;
	}

	await Promise.all(changes);
};

export const troubleKinds: Readonly<Record<string, Begin>> = {
	/** The holder and those that would follow it are stopped together. */
	race({deployment, holder}) {
		const next = deployment.daemons.filter(daemon => !daemon.isDisturbed && daemon !== holder).toSorted((a, b) => a.name < b.name ? -1 : 1);
		return pause([holder, ...next.slice(0, successors)]);
	},
	stop: ({holder}) => pause([holder]),
	kill: ({holder}) => kill(holder),
	term: ({holder}) => restart(holder, holder.terminate()),
	/** The holder and those that follow it are ended in succession, while the former ones are still stopping. */
	handovers: field => waitFor(endHolders(field), {daemons: 'all'}),
	storecut: ({deployment, holder}) => refuse(deployment, 'silent', [holder]),
	storelost: ({deployment, holder}) => refuse(deployment, 'lost', [holder]),
	storerefuse: ({deployment, holder}) => refuse(deployment, 'unavailable', [holder]),
	storereset: ({deployment, holder}) => refuse(deployment, 'reset', [holder]),
	storeall: ({deployment}) => refuse(deployment, 'silent', deployment.daemons, 'all'),
	storeslow: ({deployment: {store}}) => change(isOn => {
		store.slowMs = isOn ? slowStoreMs : 0;
	}, {daemons: 'all'}),
	storelate: ({deployment: {store}}) => change(isOn => {
		store.lateShare = isOn ? lateStoreShare : 0;
	}, {daemons: 'all'}),
	/** Transactions are carried out at once, or seconds later, and without an answer. */
	storemute({deployment: {store}, random}) {
		const {lateMs: defaultLateMs} = store;
		const muteMs = random.next() < 0.5 ? {min: 0, max: 0} : {min: minVeryLateMs, max: maxVeryLateMs};
		return change(isOn => {
			store.lateShare = isOn ? lateStoreShare : 0;
			store.lateMs = isOn ? muteMs : defaultLateMs;
		}, {daemons: 'all'});
	},
	storelimit: ({deployment: {store}}) => change(isOn => {
		store.limitRates(isOn ? limitedRatesFactor : 1);
	}, {daemons: 'all'}),
	storeforget: ({deployment: {store}}) => change(() => {
		store.rows.discardHistory(store.rows.ver);
	}, {daemons: 'all'}),
	workers: silenceSome,
	/** Starts are carried out late, and their answers are lost. */
	workerlate(field) {
		const lateMs = 1 + Math.floor(field.random.next() * maxLateStartMs);
		return changeWorkers(pickWorkers(field), (worker, isOn) => {
			worker.lateMsByPath.set('/run-start', isOn ? lateMs : 0);
		});
	},
	workercut: cutHolderOff,
	/** Workers crash and start again under their ids and addresses. */
	restart(field) {
		const workers = pickWorkers(field).filter(worker => mayCrash(worker));
		return waitFor(Promise.all(workers.map(async worker => worker.restart(field.random.next() * bounds.contact_ms))), {workers});
	},
	/** Workers crash for a moment while some of their calls are unanswered, which the next incarnation carries out late. */
	crashlate(field) {
		const workers = pickWorkers(field).filter(worker => mayCrash(worker));
		return waitFor(Promise.all(workers.map(async worker => crashUnderCalls(worker, field.random))), {workers});
	},
	/** The same, also to workers to which calls of before an earlier crash are still under way. */
	crashagain(field) {
		const workers = pickWorkers(field).filter(({isUp, isDraining}) => isUp && !isDraining);
		return waitFor(Promise.all(workers.map(async worker => crashUnderCalls(worker, field.random))), {workers});
	},
	/** Registrations of workers that run on and answer are removed; half of the time the holder is lost as well. */
	lapse(field) {
		const {holder, random} = field;
		const hasLoss = random.next() < 0.5;
		const lose = random.next() < 0.5 ? kill : (daemon: Daemon) => pause([daemon]);
		const workers = pickWorkers(field, lapsedWorkersShare);
		const lapsed = changeWorkers(workers, (worker, isOn) => {
			worker.isUnregistered = isOn;
			if (isOn) {
				worker.unregister();
			} else {
				worker.register();
			}
		});
		const loss = hasLoss ? lose(holder) : undefined;
		return {
			daemons: loss?.daemons ?? [], workers,
			async end() {
				await Promise.all([lapsed.end(), loss?.end()]);
			},
		};
	},
	/** Processor time is short on all hosts together. */
	starve({deployment: {busyProcesses}, random}) {
		const busy = busyProcesses.start(drawBetween(random, minBusyProcesses, maxBusyProcesses));
		return {
			daemons: 'all', workers: 'all',
			end() {
				busyProcesses.end(busy);
			},
		};
	},
	/** The holder is lost just after the last task of a job has ended. */
	async jobend({deployment, random}) {
		const lose = drawOne(random, losses);
		await deployment.ledger.jobEnds.wait(maxJobWaitMs);
		await sleep(random.next() * maxAfterJobMs);
		const {holder} = deployment;
		return holder === undefined || holder.isDisturbed ? undefined : lose(deployment, holder);
	},
	/** New versions of the configuration come in quick succession. */
	configure({deployment: {operator, traffic}, random}) {
		const written = operator.configureOften(random, () => {
			traffic?.submitAdded();
		});
		return {
			isRoutine: true,
			async end() {
				await written;
				operator.configure();
			},
		};
	},
	/** Some machines are due for upkeep. */
	wave: ({deployment: {operator}, random}) => waitFor(operator.orderWave(random), {}),
	/** Some workers drain and leave; others come to their machines at other addresses. */
	leave: field => replaceWorkers(field, false),
	/** The same, with others that come to their addresses. */
	replace: field => replaceWorkers(field, true),
	/** Holders are ended one shortly after the other, some of them just after their start. */
	quickseries: field => waitFor(refreshOthers(field).then(async () => endHoldersQuickly(field)), {daemons: 'all'}),
	/** All workers of a zone are out of reach of all daemons for less than their lease, several times. */
	zonecut(field) {
		const workers = workersOfZone(field);
		return waitFor(cutZone(field, workers), {workers, daemons: 'all'});
	},
	/** All or most workers of a zone and service leave together, beside hand-overs. */
	zoneleave: field => emptyZone(field),
	/** A daemon with a smaller share of the processor holds the lease, and yields it as the larger ones are back. */
	bigreturn: field => endLargeDaemons(field),
	/** All daemons are killed at once. */
	killall: ({deployment}) => killAll(deployment),
	/** Daemons stand still at any instruction, several times a second. */
	standstill: field => pauseAtRandom(field),
	/** The holder stands still among the orders of a round, and workers start again meanwhile. */
	reborn: async field => pauseAmongStarts(field),
	/** The lease goes to and fro within seconds, by stops and by suspicions, and the suspected holder is alive. */
	toandfro: field => waitFor(passToAndFro(field), {daemons: 'all'}),
	/** `workers` and `workercut`, mostly for longer than a lease. */
	workerslong: silenceSome,
	workercutlong: cutHolderOff,
	/** Workers of a zone start again, get what is sent while their answers are lost, and are out of reach before anyone has seen the restart. Half of the time the holder is killed, else it stays. */
	unseenreturn(field) {
		const workers = workersOfZone(field).filter(worker => mayCrash(worker) && !worker.isSilent);
		const isHolderKilled = field.random.next() < 0.5;
		return waitFor(returnUnseen(field, workers, isHolderKilled), {workers, daemons: isHolderKilled ? [field.holder] : []});
	},
	/** All workers of a zone are out of reach of all daemons for longer than a lease, some of them just after they have started again. */
	longcut(field) {
		const workers = workersOfZone(field);
		return waitFor(cutLong(field, workers), {workers});
	},
	/** All daemons are ended in turn, beside a wave. */
	rolling: field => waitFor(Promise.all([field.deployment.operator.orderWave(field.random), endInTurn(field)]), {daemons: 'all'}),
};

/** Kinds in which workers are out of reach for longer than a lease. */
const longKinds = ['workerslong', 'workercutlong', 'unseenreturn', 'longcut'] as const;

/** Kinds that are drawn only where they are named: `crashagain` shows a fault that is known and not mended, and the others would change what each seed draws. */
const namedKinds: ReadonlySet<string> = new Set([
	'crashagain', 'leave', 'replace', 'bigreturn', 'rolling', 'quickseries', 'zonecut', 'zoneleave', 'killall', 'standstill', 'reborn', 'toandfro', 'storemute', ...longKinds,
]);

/** Kinds of work that an operator plans. All others are disruptions. */
const plannedKinds: ReadonlySet<string> = new Set(['term', 'handovers', 'configure', 'wave', 'leave', 'replace', 'bigreturn', 'rolling', 'quickseries', 'zoneleave']);

const drawDuration = (kind: string, random: RandomSource): number => {
	const minMs = minDurationsMs[kind] ?? minDurationMs;
	return minMs + (random.next() * ((maxDurationsMs[kind] ?? maxDurationMs) - minMs));
};

export const defaultKinds: readonly string[] = Object.keys(troubleKinds).filter(kind => !namedKinds.has(kind));

export class Troubles {
	readonly played: Trouble[] = [];
	readonly #deployment: Deployment;
	readonly #random: RandomSource;
	readonly #pending: Array<Promise<void>> = [];

	constructor(deployment: Deployment, random: RandomSource) {
		this.#deployment = deployment;
		this.#random = random;
	}

	/** Plays troubles of the given kinds, and resolves once the last of them is over. */
	async play(kinds: readonly string[], series: number, durationMs: number): Promise<void> {
		const untilMs = performance.now() + durationMs;
		await Promise.all(Array.from({length: series}, async () => this.#playSeries(kinds, untilMs)));
		await Promise.all(this.#pending);
	}

	/** Kills all daemons at once and starts them again, and resolves once all are back. */
	async close(): Promise<void> {
		const random = new SeededRandom(Math.floor(this.#random.next() * maxSeed));
		const {daemons} = this.#deployment;
		await this.#playOne('killall', {deployment: this.#deployment, holder: this.#deployment.holder ?? daemons[0]!, random}, drawDuration('killall', random));
	}

	/** Whether nothing disturbed the daemon, or the store for all of them, in the span and for `contact_ms` before it. */
	isInTouch(daemon: string, fromMs: number, toMs: number): boolean {
		return !this.#near(fromMs, toMs).some(({daemons}) => daemons === 'all' || daemons.has(daemon));
	}

	/** Whether nothing disturbed the worker in the span and for `contact_ms` before it. */
	isSoundWorker(worker: string, fromMs: number, toMs: number): boolean {
		return !this.#near(fromMs, toMs).some(({workers}) => workers === 'all' || workers.has(worker));
	}

	/** Whether there was no trouble but routine ones in the span and for `contact_ms` before it. */
	isCalm(fromMs: number, toMs: number): boolean {
		return this.#near(fromMs, toMs).every(({isRoutine}) => isRoutine);
	}

	/** Whether there was nothing but planned work in the span and for `contact_ms` before it. */
	hasOnlyPlannedWork(fromMs: number, toMs: number): boolean {
		return this.#near(fromMs, toMs).every(({kind}) => plannedKinds.has(kind));
	}

	#near(fromMs: number, toMs: number): readonly Trouble[] {
		return this.played.filter(trouble => trouble.fromMs <= toMs && trouble.toMs >= fromMs - bounds.contact_ms);
	}

	async #playSeries(kinds: readonly string[], untilMs: number): Promise<void> {
		for (;;) {
			await sleep(minPauseMs + (this.#random.next() * (maxPauseMs - minPauseMs)));
			const kind = kinds[Math.floor(this.#random.next() * kinds.length)];
			const durationMs = drawDuration(kind ?? '', this.#random);
			// How much a trouble draws depends on the workers that are there, so it has a sequence of its own.
			const random = new SeededRandom(Math.floor(this.#random.next() * maxSeed));
			if (performance.now() >= untilMs || kind === undefined) {
				return;
			}

			const {holder} = this.#deployment;
			if (holder !== undefined && !holder.isDisturbed) {
				this.#pending.push(this.#playOne(kind, {deployment: this.#deployment, holder, random}, durationMs));
			}
		}
	}

	async #playOne(kind: string, field: Field, durationMs: number): Promise<void> {
		const {record} = this.#deployment;
		const begun = await troubleKinds[kind]!(field);
		if (begun === undefined) {
			record.add(`TROUBLE ${kind} is not played: the holder is disturbed`);
			return;
		}

		const {daemons = [], workers = [], isRoutine = false, end} = begun;
		const trouble: Trouble = {
			kind, isRoutine, fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY,
			daemons: daemons === 'all' ? daemons : new Set(daemons.map(({name}) => name)), workers: workers === 'all' ? workers : new Set(workers.map(({id}) => id)),
		};
		this.played.push(trouble);
		record.add(`TROUBLE ${kind} begins, holder ${this.#deployment.holder?.name}, for ${Math.round(durationMs)} ms`);
		await sleep(durationMs);
		await end();
		trouble.toMs = performance.now();
		record.add(`TROUBLE ${kind} is over`);
	}
}
