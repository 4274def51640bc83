/**
Sends and receives the datagrams of failure detection over UDP. Nothing waits for a datagram to arrive, and a socket that cannot be opened only leaves the decision on a lost holder to the expiry of its lease.
*/
import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {type Logger} from '@poplarnotch/common';
import {type SocketAddress} from '@poplarnotch/platform-adapter';
import {type DatagramTransport} from '@poplarnotch/state';

export type UdpTransportOptions = {
	readonly address: SocketAddress;
	readonly addressOf: (processId: string) => SocketAddress | undefined;
	readonly log: Logger;
};

export class UdpTransport implements DatagramTransport {
	readonly #options: UdpTransportOptions;
	readonly #socket: Socket = createSocket('udp4');
	#isOpen = false;
	#isFailing = false;

	constructor(options: UdpTransportOptions) {
		this.#options = options;
		this.#socket.on('error', error => {
			this.#options.log.warn({event: 'datagram_socket_failed', port: this.#options.address.port, reason: error.message});
		});
	}

	async listen(): Promise<void> {
		const {address} = this.#options;
		try {
			const listening = once(this.#socket, 'listening');
			this.#socket.bind(address.port, address.ip);
			await listening;
			this.#isOpen = true;
		} catch {
			// The listener for errors has logged the reason.
		}
	}

	close(): void {
		this.#isOpen = false;
		this.#socket.close();
	}

	receive(receiver: (datagram: Uint8Array) => void): void {
		this.#socket.on('message', receiver);
	}

	send(processId: string, datagram: Uint8Array): void {
		const address = this.#options.addressOf(processId);
		if (!this.#isOpen || address === undefined) {
			return;
		}

		this.#socket.send(datagram, address.port, address.ip, error => {
			const isFailing = error !== null;
			if (isFailing && !this.#isFailing) {
				this.#options.log.warn({event: 'datagram_not_sent', to: processId, reason: error.message});
			}

			this.#isFailing = isFailing;
		});
	}
}
