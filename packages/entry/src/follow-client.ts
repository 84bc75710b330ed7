import type { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import { DistributionClient } from '@hickoryspoke/protocol/generated/distribution'
import type { ControlAddress, FollowStream } from './control-stream.ts'

/** Maximum size of an update from control, in bytes. A whole file with 50,000 customers has about 11 million bytes. */
export const MAXIMUM_UPDATE_BYTES = 64 * 1024 * 1024

const KEEPALIVE_MILLISECONDS = 5_000

/** Returns a function that opens a stream to a control VM. Each stream has its own connection, which is closed with it. */
export function createFollowClient (credentials: InnerCredentials): (control: ControlAddress) => FollowStream {
  return (control) => {
    const client = new DistributionClient(control.address, credentials.forChannel(), {
      ...credentials.channelOptions(control.name),
      'grpc.max_receive_message_length': MAXIMUM_UPDATE_BYTES,
      'grpc.keepalive_time_ms': KEEPALIVE_MILLISECONDS,
      'grpc.use_local_subchannel_pool': 1
    })
    const call = client.follow()
    call.on('close', () => client.close())
    call.on('error', () => client.close())
    return call
  }
}
