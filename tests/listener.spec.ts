/** Listeners: what they keep of a connection. */
import { HttpListener } from '@gooseberryspan/entry'
import { HOST, openRaw, waitUntil } from './fixtures/deployment.js'

describe('listener', () => {
  it('should not wait for responses behind another one when their connection has closed', async () => {
    let requests = 0
    const listener = new HttpListener(() => { requests += 1 }, { host: HOST, port: 0, headerMs: 1000, idleMs: 1000 })
    const { socket } = openRaw(await listener.listen(), 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(3))
    await waitUntil(() => requests === 3)
    socket.destroy()
    await listener.answered()
    listener.cut()
    await listener.close()
  })
})
