/**
Types of the operators' interface: routes, requests and responses.
*/
import {type JsonObject, type Problem} from '@poplarnotch/common';

/** An authenticated request. */
export type OperatorsRequest = {
	/** Name of the operator whose key the request carries. */
	readonly operator: string;
	/** Path parameters, from the named groups of the route's pattern. */
	readonly parameters: Readonly<Record<string, string>>;
	readonly query: URLSearchParams;
	/** The parsed JSON body; `undefined` if the body is empty. */
	readonly body: unknown;
};

/** A problem with additional fields for the operator, such as findings. */
export type OperatorsProblem = Problem & Readonly<Record<string, unknown>>;

/** The response to a request. */
export type OperatorsResponse
	= | {readonly type: 'ok'; readonly body: JsonObject}
		| {readonly type: 'problem'; readonly problem: OperatorsProblem};

/** One route of the operators' interface. Named groups of `pattern` become `parameters`. */
export type OperatorsRoute = {
	readonly method: 'GET' | 'POST';
	readonly pattern: RegExp;
	handle(request: OperatorsRequest): OperatorsResponse | Promise<OperatorsResponse>;
};
