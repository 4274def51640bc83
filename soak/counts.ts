/**
Counts of queues that never existed, asked for at each daemon directly, as the users do. Each round has a path of its own, by which the line that the daemon logs about it is found.
*/
import {readFileSync} from 'node:fs';
import {type Daemon} from './daemons.js';
import {type Deployment} from './deployment.js';
import {KeepAliveClients} from './http.js';
import {frontPort} from './settings.js';

const roundMs = 2000;

type Count = {
	readonly path: string;
	readonly wasHolder: boolean;
	readonly status: number;
};

/** The counts that one daemon was asked for. */
export class Counts {
	readonly #asked: Count[] = [];
	readonly #clients: KeepAliveClients;
	readonly #logFile: string;

	constructor(ip: string, logFile: string) {
		this.#clients = new KeepAliveClients(ip, frontPort);
		this.#logFile = logFile;
	}

	async ask(path: string, wasHolder: boolean): Promise<number> {
		const {status} = await this.#clients.call({method: 'GET', path, headers: {host: 'nope.example'}});
		this.#asked.push({path, wasHolder, status});
		return status;
	}

	/** How many calls the daemon got, answered and logged as the holder of the lease, or as another one. */
	figures(asHolder: boolean): readonly [asked: number, answered: number, logged: number] {
		const log = readFileSync(this.#logFile, 'utf8');
		const asked = this.#asked.filter(({wasHolder}) => wasHolder === asHolder);
		const answered = asked.filter(({status}) => status === 404);
		return [asked.length, answered.length, answered.filter(({path}) => log.includes(`path=${path} `)).length];
	}

	async close(): Promise<void> {
		await this.#clients.close();
	}
}

/** Asks all daemons in rounds. Returns what ends it. */
export const askForCounts = (deployment: Deployment): () => void => {
	const {record} = deployment;
	let round = 0;
	const timer = setInterval(() => {
		const path = `/nope${++round}/`;
		const {holder} = deployment;
		for (const daemon of deployment.daemons) {
			void daemon.counts.ask(path, daemon === holder).then(status => {
				record.add(`count: GET ${path} at ${daemon.name}${daemon === holder ? ', the holder' : ''}: ${status === 0 ? 'no answer' : status}`);
			});
		}
	}, roundMs);
	return () => {
		clearInterval(timer);
	};
};

/** The figures of the holders of the lease, and of all others. */
export const describeCounts = (daemons: readonly Daemon[]): readonly string[] => [true, false].map(asHolder => {
	const figures = daemons.map(({counts}) => counts.figures(asHolder));
	const [asked, answered, logged] = [0, 1, 2].map(index => figures.reduce((sum, each) => sum + each[index]!, 0));
	return `${asked} counts of missing queues asked for at ${asHolder ? 'the holder' : 'others'}, ${answered} answered 404, ${logged} of these logged`;
});
