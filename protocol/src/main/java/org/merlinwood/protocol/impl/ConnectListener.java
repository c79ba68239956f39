package org.merlinwood.protocol.impl;

import org.merlinwood.core.result.ResultCode;

/** Receives the result of opening a connection. Exactly one method is called, once. */
interface ConnectListener {

    void onConnected(NettyPeerConnection connection);

    void onFailed(ResultCode code);
}
