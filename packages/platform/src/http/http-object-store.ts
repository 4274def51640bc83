/**
Client of the object store over HTTP/JSON.
*/
import {type ObjectCondition, type ObjectStore, type StoredObject} from '../object-store.js';
import {type PlatformConnection} from './connection.js';
import {objectWrittenSchema, storedObjectSchema} from './schemas.js';

const pathOf = (key: string): string => `/objects/${key.split('/').map(encodeURIComponent).join('/')}`;

/** `ObjectStore` over HTTP. */
export class HttpObjectStore implements ObjectStore {
	readonly #connection: PlatformConnection;

	constructor(connection: PlatformConnection) {
		this.#connection = connection;
	}

	async get(key: string): Promise<StoredObject | undefined> {
		return this.#connection.callOptional({method: 'GET', path: pathOf(key), isWrite: false}, storedObjectSchema);
	}

	async put(key: string, text: string, condition: ObjectCondition): Promise<string> {
		const answer = await this.#connection.call({
			method: 'PUT', path: pathOf(key), body: {text, condition}, isWrite: true,
		}, objectWrittenSchema);
		return answer.etag;
	}
}
