/**
Arithmetic and comparisons on resource amounts.
*/
import {type Resources} from '../types.js';

export const noResources: Resources = {cpuMillicores: 0, memoryMb: 0, accelerators: 0};

export const addResources = (a: Resources, b: Resources): Resources => ({
	cpuMillicores: a.cpuMillicores + b.cpuMillicores,
	memoryMb: a.memoryMb + b.memoryMb,
	accelerators: a.accelerators + b.accelerators,
});

export const subtractResources = (a: Resources, b: Resources): Resources => ({
	cpuMillicores: a.cpuMillicores - b.cpuMillicores,
	memoryMb: a.memoryMb - b.memoryMb,
	accelerators: a.accelerators - b.accelerators,
});

export const multiplyResources = (resources: Resources, count: number): Resources => ({
	cpuMillicores: resources.cpuMillicores * count,
	memoryMb: resources.memoryMb * count,
	accelerators: resources.accelerators * count,
});

export const fitsInto = (needs: Resources, freeCapacity: Resources): boolean =>
	needs.cpuMillicores <= freeCapacity.cpuMillicores && needs.memoryMb <= freeCapacity.memoryMb && needs.accelerators <= freeCapacity.accelerators;

/** Returns true if `used` plus `more` stays within the limit, in which 0 means no limit. */
export const staysWithin = (limit: Resources, used: Resources, more: Resources): boolean =>
	(limit.cpuMillicores === 0 || used.cpuMillicores + more.cpuMillicores <= limit.cpuMillicores)
	&& (limit.memoryMb === 0 || used.memoryMb + more.memoryMb <= limit.memoryMb)
	&& (limit.accelerators === 0 || used.accelerators + more.accelerators <= limit.accelerators);
