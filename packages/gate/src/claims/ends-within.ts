/**
Waits for work with a timeout. The work is not cancelled when the timeout expires.
*/
import {type CancelTimer, type Clock} from '@poplarnotch/common';

const stepsCount = 5;

/**
Resolves to true as soon as the work ends, or to false after `timeoutMs`. The work must not reject. The timeout is counted in steps, so that after a pause of the whole process the work still has most of its time left.
*/
export const endsWithin = async (clock: Clock, timeoutMs: number, work: Promise<void>): Promise<boolean> => new Promise(resolve => {
	let cancel: CancelTimer;
	const wait = (stepsLeft: number): void => {
		cancel = clock.schedule(timeoutMs / stepsCount, () => {
			if (stepsLeft > 1) {
				wait(stepsLeft - 1);
			} else {
				resolve(false);
			}
		});
	};

	wait(stepsCount);
	void work.then(() => {
		cancel();
		resolve(true);
	});
});
