/**
Logging through bunyan, rendered as one line of `key=value` pairs for each event.
*/
import process from 'node:process';
import bunyan from 'bunyan';

/** Values that a log line can carry. */
export type LogValue = string | number | boolean | undefined;

/** The fields of one event. `event` names it in snake_case; never put a secret into a field. */
export type LogFields = {readonly event: string} & Readonly<Record<string, LogValue>>;

/** Writes one line for each event. */
export interface Logger {
	debug(fields: LogFields): void;
	info(fields: LogFields): void;
	warn(fields: LogFields): void;
	error(fields: LogFields): void;
}

/** Log levels, in ascending order of severity. */
export const logLevels = ['debug', 'info', 'warn', 'error'] as const;
export type LogLevel = typeof logLevels[number];

/** Fields that bunyan adds, and that the line shows in its fixed head or omits. */
const hiddenFields = new Set(['name', 'hostname', 'pid', 'level', 'msg', 'time', 'v', 'event']);

const needsQuotes = /[\s"=]/v;

const formatValue = (value: unknown): string => {
	if (typeof value === 'number') {
		return Number.isFinite(value) ? String(value) : 'null';
	}

	const text = typeof value === 'string' ? value : JSON.stringify(value);
	return text === '' || needsQuotes.test(text) ? JSON.stringify(text) : text;
};

const secondMs = 1000;
const millisecondDigits = 3;

/** Formats wall times for log lines. Most lines belong to the same second as the line before, whose date and time of day are kept. */
class TimeFormat {
	#second = Number.NaN;
	#prefix = '';

	format(time: Date): string {
		const timeMs = time.getTime();
		const second = Math.floor(timeMs / secondMs);
		if (second !== this.#second) {
			const text = time.toISOString();
			this.#second = second;
			this.#prefix = text.slice(0, text.lastIndexOf('.') + 1);
		}

		return `${this.#prefix}${String(timeMs - (second * secondMs)).padStart(millisecondDigits, '0')}Z`;
	}
}

const timeFormat = new TimeFormat();

type BunyanRecord = Readonly<Record<string, unknown>> & {
	readonly name: string;
	readonly level: bunyan.LogLevel;
	readonly time: Date;
	readonly event?: string;
};

/** Renders one bunyan record as a line. */
export const formatLogRecord = (record: BunyanRecord): string => {
	const level = bunyan.nameFromLevel[Number(record.level)] ?? record.level;
	let line = `time=${timeFormat.format(record.time)} level=${level} process=${formatValue(record.name)} event=${formatValue(record.event ?? 'unnamed')}`;
	for (const key of Object.keys(record)) {
		const value = record[key];
		if (value !== undefined && !hiddenFields.has(key)) {
			line += ` ${key}=${formatValue(value)}`;
		}
	}

	return line;
};

/** Destination of the log lines; `write` returns false if the line was dropped or the buffer is full. */
export type LogOutput = {
	write(line: string): boolean;
};

class BunyanLogger implements Logger {
	readonly #logger: bunyan;

	constructor(processName: string, level: LogLevel, output: LogOutput) {
		const stream = {
			write(record: BunyanRecord): void {
				output.write(`${formatLogRecord(record)}\n`);
			},
		};
		this.#logger = bunyan.createLogger({
			name: processName,
			streams: [{
				type: 'raw',
				level,
				stream: stream as unknown as NodeJS.WritableStream,
			}],
		});
	}

	debug(fields: LogFields): void {
		this.#logger.debug(fields);
	}

	info(fields: LogFields): void {
		this.#logger.info(fields);
	}

	warn(fields: LogFields): void {
		this.#logger.warn(fields);
	}

	error(fields: LogFields): void {
		this.#logger.error(fields);
	}
}

/** Creates the logger of a process. Lines go to standard error by default. */
export const createLogger = (processName: string, level: LogLevel = 'info', output: LogOutput = process.stderr): Logger =>
	new BunyanLogger(processName, level, output);

const ignoreFields = (_fields: LogFields): void => undefined;

/** Discards all events; for tests and tools without a log. */
export const silentLogger: Logger = {
	debug: ignoreFields,
	info: ignoreFields,
	warn: ignoreFields,
	error: ignoreFields,
};
