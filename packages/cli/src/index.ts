export {runCli, type CliEnvironment} from './cli.js';
export {exitCodes, type ExitCode} from './exit-codes.js';
