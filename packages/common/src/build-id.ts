/**
Names the build that a process runs, so that a log tells which sources it is of.
*/

/** Put in place by the build script. */
declare const POPLARNOTCH_BUILD: string | undefined; // eslint-disable-line @typescript-eslint/naming-convention -- the name of a constant of the build

/** The commit, or a hash of the sources where there is none; `unbuilt` where the sources run as they are. */
export const buildId: string = typeof POPLARNOTCH_BUILD === 'string' ? POPLARNOTCH_BUILD : 'unbuilt';
