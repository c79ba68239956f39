package org.merlinwood.protocol.impl;

import org.merlinwood.core.result.ResultCode;

/** Hears how opening a connection ended; exactly one method is called, once. */
interface ConnectingResult {

    void succeeded(NettyPeerConnection connection);

    void failed(ResultCode code);
}
